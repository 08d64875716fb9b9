import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { StatedLoad } from '../model/stated-load.js'

/** Age from which the endpoint's statement of its load is disregarded, in milliseconds. */
const REPORT_LIFETIME_MS = 2_000

/** Grants in use at one incarnation of an endpoint, and what is known of requests that run there without a grant. */
export class SlotGrants {
  private readonly _clock: ElapsedClock
  private _inUse = 0
  private _others: number
  private _othersUntil: number

  /**
   * @param clock measures the age of reports
   * @param others requests at the endpoint that other sources report
   * @param othersMs time for which `others` is valid unless the endpoint states its load, in milliseconds
   */
  constructor (clock: ElapsedClock, others: number, othersMs: number) {
    this._clock = clock
    this._others = others
    this._othersUntil = clock.now() + othersMs
  }

  /** Number of grants in use. */
  get inUse (): number {
    return this._inUse
  }

  /** Presumed number of requests at the endpoint: the grants in use, and requests without a grant. */
  get load (): number {
    return this._inUse + (this._clock.now() < this._othersUntil ? this._others : 0)
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
   * requests of others. Grants on their way to the endpoint are not in its statement, so the number of the others may be too low by
   * these, but never too high.
   * @param load load that the endpoint stated
   */
  recordReport ({ running, waiting }: StatedLoad): void {
    this._others = Math.max(0, running + waiting - this._inUse)
    this._othersUntil = this._clock.now() + REPORT_LIFETIME_MS
  }
}
