/** Settings that bound the requests which may arrive at a cold endpoint in any second, from all routers together. */
export interface WarmUpBounds {
  /** Multiple of the rate of the warm-up rule. */
  readonly overage: number
  /** Requests in addition to that multiple. */
  readonly tolerance: number
}
