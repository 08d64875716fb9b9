/** Presumption that an endpoint is cold, as one router tells it to another. */
export interface ColdNote {
  /** Id of the endpoint. */
  readonly endpointId: string
  /** Start of the incarnation that is presumed to be cold. */
  readonly startedAt: number
  /** Milliseconds for which it stays cold; 0 if the presumption has ended. */
  readonly leftMs: number
  /** Milliseconds since a router observed what the presumption is based on. */
  readonly ageMs: number
}
