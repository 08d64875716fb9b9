import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { StatedLoad } from '../model/stated-load.js'

/** Maximum time for which the endpoint's statement of its load is regarded, in milliseconds. */
const MAXIMUM_LIFETIME_MS = 2_000
/** Minimum time for which it is regarded, in milliseconds; used while the service time is not known. */
const MINIMUM_LIFETIME_MS = 50

/** Grants in use at one incarnation of an endpoint, and what is known of requests that run there without a grant. */
export class SlotGrants {
  private readonly _clock: ElapsedClock
  private _inUse = 0
  private _others: number
  private _othersSince: number
  private _othersMs: number

  /**
   * @param clock measures the age of reports
   * @param others requests at the endpoint that other sources report
   * @param othersMs time in which these end, unless the endpoint states its load, in milliseconds
   */
  constructor (clock: ElapsedClock, others: number, othersMs: number) {
    this._clock = clock
    this._others = others
    this._othersSince = clock.now()
    this._othersMs = othersMs
  }

  /** Number of grants in use. */
  get inUse (): number {
    return this._inUse
  }

  /**
   * Presumed number of requests at the endpoint: the grants in use, and requests without a grant. The latter end as time passes. If they
   * did not count as ended without a new statement, an endpoint that got no grants because of them would never get any again.
   */
  get load (): number {
    const age = (this._clock.now() - this._othersSince) / Math.max(1, this._othersMs)
    return this._inUse + this._others * Math.max(0, 1 - age)
  }

  /** Counts a grant. */
  begin (): void {
    this._inUse += 1
  }

  /** Counts the end of a grant. */
  end (): void {
    this._inUse -= 1
  }

  /**
   * Records the load that the endpoint stated in the response to a grant that is still in use. What exceeds the grants in use are
   * requests of others. Grants whose requests are in transit to the endpoint are not in its statement, so the number of the others may be too low by
   * these, but never too high.
   * @param load load that the endpoint stated
   * @param serviceMs mean time that a request takes, in milliseconds
   */
  recordReport ({ running, waiting, slots }: StatedLoad, serviceMs: number): void {
    this._others = Math.max(0, running + waiting - this._inUse)
    this._othersSince = this._clock.now()
    this._othersMs = Math.max(MINIMUM_LIFETIME_MS, Math.min(MAXIMUM_LIFETIME_MS, serviceMs * (1 + (running + waiting) / slots)))
  }
}
