import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Backoff after a router did not answer, during which it is not contacted. */
const UNREACHABLE_BACKOFF_MS = 1_500
/**
 * Backoff after the state of a router was stale. It is short, since that router may follow another one soon, and longer than the interval between
 * sync requests, so that the next round goes on to the routers after it.
 */
const STALE_BACKOFF_MS = 300

/** Time until which a router is not contacted, and why. */
interface Backoff {
  readonly until: number
  readonly hasAnswered: boolean
}

/** Routers that are not contacted for a while. */
export class PeerBackoffs {
  private readonly _clock: ElapsedClock
  private readonly _backoffs = new Map<string, Backoff>()

  /**
   * @param clock measures the backoffs
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Returns whether a router is not to be contacted now.
   * @param address address of the router
   */
  includes (address: string): boolean {
    return this._find(address) !== undefined
  }

  /**
   * Returns whether a router is not to be contacted now because it did not answer. One that is not followed may still have what this router needs.
   * @param address address of the router
   */
  isUnreachable (address: string): boolean {
    return this._find(address)?.hasAnswered === false
  }

  /**
   * Starts the backoff of a router.
   * @param address address of the router
   * @param hasAnswered whether it answered, with stale state
   */
  start (address: string, hasAnswered: boolean): void {
    const until = this._clock.now() + (hasAnswered ? STALE_BACKOFF_MS : UNREACHABLE_BACKOFF_MS)
    this._backoffs.set(address, { until, hasAnswered })
  }

  private _find (address: string): Backoff | undefined {
    const backoff = this._backoffs.get(address)
    return backoff !== undefined && backoff.until > this._clock.now() ? backoff : undefined
  }
}
