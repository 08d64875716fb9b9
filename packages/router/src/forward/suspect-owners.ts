import type { Clock } from '@mimosarock/coordination/clock.js'

/**
 * Owners that left a forward without an acknowledgement. Membership needs seconds to remove a router that stands
 * still; until then this keeps calls from waiting for it one after the other.
 */
export class SuspectOwners {
  private readonly _clock: Clock
  private readonly _suspicionMs: number
  private readonly _until = new Map<string, number>()

  /**
   * @param clock tells when a suspicion ends
   * @param suspicionMs how long an owner is not asked again, in milliseconds
   */
  constructor (clock: Clock, suspicionMs: number) {
    this._clock = clock
    this._suspicionMs = suspicionMs
  }

  /**
   * Notes an owner that did not answer.
   * @param routerId the owner
   */
  suspect (routerId: string): void {
    this._until.set(routerId, this._clock.now() + this._suspicionMs)
  }

  /**
   * Whether an owner did not answer a short while ago.
   * @param routerId the owner
   */
  isSuspect (routerId: string): boolean {
    const until = this._until.get(routerId)
    if (until === undefined) return false
    if (until > this._clock.now()) return true
    this._until.delete(routerId)
    return false
  }
}
