/** What one router tells another about an endpoint that has begun to answer a request with a suspect part. */
export interface ClearanceNote {
  /** Id of the part. */
  readonly partId: string
  /** Milliseconds since the answer began. */
  readonly ageMs: number
}
