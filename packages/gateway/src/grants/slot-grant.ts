/** Right of a router to send one request to an endpoint. */
export interface SlotGrant {
  /** Number of the grant, unique for its owner. */
  readonly grant: number
  /** Id of the endpoint. */
  readonly endpointId: string
  /** Start time of the endpoint's incarnation, as in its registration. */
  readonly startedAt: number
  /** Time for which the request waited at the owner, in milliseconds. */
  readonly waitedMs: number
}
