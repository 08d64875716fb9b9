/** What may have crashed an endpoint: a prompt part that requests share, or the whole of one request. */
export interface Suspect {
  /** Id of the part's content, or of the request, see `requestSuspectId`. */
  readonly id: string
  /** Index of the part in its prompt; whole requests are deeper than any part. */
  readonly depth: number
}
