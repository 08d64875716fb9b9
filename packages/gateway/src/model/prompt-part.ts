/** One part of a prompt; requests that share a part share its cached context. */
export interface PromptPart {
  /** Identity of the part's content, hexadecimal. */
  readonly id: string
  /** Length in tokens. */
  readonly tokens: number
}
