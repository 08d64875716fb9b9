/** What one router tells another about an endpoint that has begun to answer a request with a suspect part, or has answered a suspect request. */
export interface ClearanceNote {
  /** Id of the part or the request. */
  readonly partId: string
  /** Milliseconds since then. */
  readonly ageMs: number
}
