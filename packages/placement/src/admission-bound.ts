import { PlacementGoal } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Promised multiple of a pool that sets none. */
const DEFAULT_LOAD_MULTIPLE = 1.25
/** Requests by which a bound may be passed, since requests are whole. */
const SLACK_REQUESTS = 1
/**
 * Share of the promised excess over the mean that admission uses. A bound that held at admission is passed
 * later, when the mean falls while long answers run on; the rest of the excess is kept for that.
 */
const ADMISSION_SHARE = {
  [PlacementGoal.UNSPECIFIED]: 0.6,
  [PlacementGoal.SKEW]: 0.6,
  [PlacementGoal.REUSE]: 1
} as const

/** The load up to which an endpoint admits, derived from the multiple that its pool promises. */
export class AdmissionBound {
  /** Promised multiple of the pool's mean load. */
  readonly promisedMultiple: number
  /** Multiple up to which requests are admitted; at most the promised one. */
  readonly admissionMultiple: number

  /**
   * @param loadMultiple promised multiple; 0 means the default of 1.25
   * @param goal which goal wins where evenness of load and reuse of context disagree; skew if unspecified
   */
  constructor (loadMultiple: number, goal: PlacementGoal) {
    this.promisedMultiple = loadMultiple > 0 ? loadMultiple : DEFAULT_LOAD_MULTIPLE
    this.admissionMultiple = 1 + (this.promisedMultiple - 1) * ADMISSION_SHARE[goal]
  }

  /**
   * Highest load that an endpoint may have after admission. The least loaded endpoint of a pool is always
   * below it, so a request finds a place while any endpoint has free capacity.
   * @param mean the pool's load for each unit of capacity
   * @param capacity the endpoint's capacity, which is a limit of its own
   */
  limit (mean: number, capacity: number): number {
    return Math.min(capacity, this.admissionMultiple * mean * capacity + SLACK_REQUESTS)
  }

  /**
   * Whether a load breaks the promise.
   * @param load the endpoint's load
   * @param mean the pool's load for each unit of capacity
   * @param capacity the endpoint's capacity
   */
  isBroken (load: number, mean: number, capacity: number): boolean {
    return load > this.promisedMultiple * mean * capacity + SLACK_REQUESTS
  }
}
