import type { MayRunAt } from './may-run-at.js'

/** What restricts the choice of an endpoint for one request. */
export interface ChoiceConstraints {
  /** Ids of endpoints to which the request was already sent. */
  readonly excluded: ReadonlySet<string>
  /** Whether the request takes much less time than most; a rate limit counts it as much as any. False if left out. */
  readonly isShort?: boolean
  /**
   * Whether the request is urgent, may run at most once or takes long, and goes to a warm endpoint while one has capacity. False if left
   * out.
   */
  readonly needsWarm?: boolean
  /**
   * Returns whether the request may run at an endpoint, and its context may be copied from it; undefined if it may run at all of
   * them. The same function for all requests with the same constraint, for which an order of the endpoints is kept.
   */
  readonly mayRunAt?: MayRunAt | undefined
}
