/** Load of an endpoint, as the endpoint states it in a response. */
export interface StatedLoad {
  /** Number of requests that are running. */
  readonly running: number
  /** Number of requests in the queue of the endpoint. */
  readonly waiting: number
  /** Number of requests that can run concurrently. */
  readonly slots: number
  /** Time that work takes now, as a multiple of the usual time; undefined if the endpoint does not state it. */
  readonly slowdown: number | undefined
}
