import type { Clock } from '@mimosarock/coordination/clock.js'

/**
 * Owners that could not be reached or did not acknowledge a forwarded call. Membership takes seconds to remove a router
 * that has stopped responding; until then calls bypass the suspected owner instead of each waiting for the same
 * timeout.
 */
export class SuspectOwners {
  private readonly _clock: Clock
  private readonly _suspicionMs: number
  private readonly _suspectedUntil = new Map<string, number>()

  /**
   * @param clock used to expire suspicions
   * @param suspicionMs time for which no calls are forwarded to a suspected owner, in milliseconds
   */
  constructor (clock: Clock, suspicionMs: number) {
    this._clock = clock
    this._suspicionMs = suspicionMs
  }

  /**
   * Marks an owner as suspected for the configured time.
   * @param routerId id of the router that did not respond
   */
  suspect (routerId: string): void {
    this._suspectedUntil.set(routerId, this._clock.now() + this._suspicionMs)
  }

  /**
   * Returns whether an owner is suspected.
   * @param routerId id of the router
   */
  isSuspect (routerId: string): boolean {
    const until = this._suspectedUntil.get(routerId)
    if (until === undefined) return false
    if (until > this._clock.now()) return true
    this._suspectedUntil.delete(routerId)
    return false
  }
}
