import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Backoff after a router did not answer, during which it is not contacted. */
const UNREACHABLE_BACKOFF_MS = 1_500
/**
 * Backoff after the state of a router was stale. It is short, since that router may follow another one soon, and longer than the interval between
 * sync requests, so that the next round goes on to the routers after it.
 */
const STALE_BACKOFF_MS = 300

/** Routers that are not contacted for a while. */
export class PeerBackoffs {
  private readonly _clock: ElapsedClock
  private readonly _until = new Map<string, number>()

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
    return (this._until.get(address) ?? -Infinity) > this._clock.now()
  }

  /**
   * Starts the backoff of a router.
   * @param address address of the router
   * @param hasAnswered whether it answered, with stale state
   */
  start (address: string, hasAnswered: boolean): void {
    this._until.set(address, this._clock.now() + (hasAnswered ? STALE_BACKOFF_MS : UNREACHABLE_BACKOFF_MS))
  }
}
