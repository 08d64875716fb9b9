/** One part of a prompt; requests that have a part in common can share its cached context. */
export interface PromptPart {
  /** Id of the part's content, hexadecimal. */
  readonly id: string
  /** Length in tokens. */
  readonly tokens: number
}
