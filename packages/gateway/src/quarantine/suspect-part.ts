/** A prompt part that an endpoint may have been processing when it crashed. */
export interface SuspectPart {
  /** Id of the part's content. */
  readonly id: string
  /** Index of the part in its prompt. */
  readonly depth: number
}
