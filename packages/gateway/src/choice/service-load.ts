/** Load of a service, and what an endpoint of it may have. */
export interface ServiceLoad {
  /** Mean number of requests in flight at an endpoint. */
  readonly mean: number
  /** Number of requests in flight from which on an endpoint is skipped. */
  readonly bound: number
}
