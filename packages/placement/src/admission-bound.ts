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
  [PlacementGoal.UNSPECIFIED]: 0.4,
  [PlacementGoal.SKEW]: 0.4,
  [PlacementGoal.REUSE]: 0.8
} as const

/**
 * Share of the admission excess that a request may use whose context is not at the endpoint. It loses nothing
 * at another endpoint, and leaves the rest to returning chats.
 */
const CONTEXTLESS_SHARE = 0.3

/** The load up to which an endpoint admits, derived from the multiple that its pool promises. */
export class AdmissionBound {
  /** Promised multiple of the pool's mean load. */
  readonly promisedMultiple: number
  /** Multiple up to which requests are admitted; at most the promised one. */
  readonly admissionMultiple: number
  /** Multiple up to which requests are admitted that have no context at the endpoint. */
  readonly contextlessMultiple: number

  /**
   * @param loadMultiple promised multiple; 0 means the default of 1.25
   * @param goal which goal wins where evenness of load and reuse of context disagree; skew if unspecified
   */
  constructor (loadMultiple: number, goal: PlacementGoal) {
    this.promisedMultiple = loadMultiple > 0 ? loadMultiple : DEFAULT_LOAD_MULTIPLE
    this.admissionMultiple = 1 + (this.promisedMultiple - 1) * ADMISSION_SHARE[goal]
    this.contextlessMultiple = 1 + (this.admissionMultiple - 1) * CONTEXTLESS_SHARE
  }

  /**
   * Highest load that an endpoint may have after admission. The least loaded endpoint of a pool is always
   * below it, so a request finds a place while any endpoint has free capacity.
   * @param mean the pool's load for each unit of capacity
   * @param capacity the endpoint's capacity, which is a limit of its own
   * @param hasContext whether the request's context is at the endpoint
   */
  limit (mean: number, capacity: number, hasContext: boolean): number {
    const multiple = hasContext ? this.admissionMultiple : this.contextlessMultiple
    return Math.min(capacity, multiple * mean * capacity + SLACK_REQUESTS)
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
