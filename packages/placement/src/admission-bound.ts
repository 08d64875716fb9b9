import { PlacementGoal } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Guaranteed multiple for a pool that does not configure one. */
const DEFAULT_LOAD_MULTIPLE = 1.25
/** Requests added to every upper bound, because requests are indivisible. */
const SLACK_REQUESTS = 1
/**
 * Share of the guaranteed excess over the mean that admission may use, by goal. The remainder is headroom: an
 * endpoint that was below its upper bound at admission can exceed it later, when the mean falls while long
 * responses are still streaming.
 */
const ADMISSION_EXCESS_SHARE = {
  [PlacementGoal.UNSPECIFIED]: 0.4,
  [PlacementGoal.SKEW]: 0.4,
  [PlacementGoal.REUSE]: 0.8
} as const

/**
 * Share of the admission excess available to requests whose context is not cached at the endpoint. They can run
 * at any other endpoint at the same cost; the remainder is reserved for chats that return to their cached context.
 */
const CONTEXTLESS_EXCESS_SHARE = 0.3

/** Upper bound on the load of an endpoint, derived from the load multiple that its pool guarantees. */
export class AdmissionBound {
  /** Guaranteed maximum load, as a multiple of the pool's mean load. */
  readonly guaranteedMultiple: number
  /** Multiple of the mean load up to which requests are admitted; never above the guaranteed multiple. */
  readonly admissionMultiple: number
  /** Multiple of the mean load up to which requests without cached context at the endpoint are admitted. */
  readonly contextlessMultiple: number

  /**
   * @param loadMultiple guaranteed multiple of the mean load; 0 selects the default of 1.25
   * @param goal goal that takes precedence when balancing load conflicts with reusing context; `SKEW`, which
   *   favors balanced load, if unspecified
   */
  constructor (loadMultiple: number, goal: PlacementGoal) {
    this.guaranteedMultiple = loadMultiple > 0 ? loadMultiple : DEFAULT_LOAD_MULTIPLE
    this.admissionMultiple = 1 + (this.guaranteedMultiple - 1) * ADMISSION_EXCESS_SHARE[goal]
    this.contextlessMultiple = 1 + (this.admissionMultiple - 1) * CONTEXTLESS_EXCESS_SHARE
  }

  /**
   * Returns the maximum load that an endpoint may have after an admission. While any endpoint of a pool has free
   * capacity, the least loaded one is below its limit, which guarantees that a request can be placed.
   * @param mean mean load of the pool per unit of capacity
   * @param capacity capacity of the endpoint, which the limit never exceeds
   * @param hasContext whether the request's context is cached at the endpoint
   */
  limit (mean: number, capacity: number, hasContext: boolean): number {
    const multiple = hasContext ? this.admissionMultiple : this.contextlessMultiple
    return Math.min(capacity, multiple * mean * capacity + SLACK_REQUESTS)
  }

  /**
   * Returns whether a load exceeds the guaranteed upper bound.
   * @param load load of the endpoint, in requests of mean size
   * @param mean mean load of the pool per unit of capacity
   * @param capacity capacity of the endpoint, in requests
   */
  isExceeded (load: number, mean: number, capacity: number): boolean {
    return load > this.guaranteedMultiple * mean * capacity + SLACK_REQUESTS
  }
}
