import type { ElapsedClock } from '../model/elapsed-clock.js'
import { PermitTimes } from './permit-times.js'

/** Permits that this router may use, by endpoint. */
export class HeldPermits {
  /** Times at which the permits of an endpoint expire, in ascending order. */
  private readonly _expiries = new Map<string, number[]>()
  private readonly _clock: ElapsedClock

  /**
   * @param clock measures the lifetime
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Returns the number of permits for an endpoint.
   * @param endpointId id of the endpoint
   */
  count (endpointId: string): number {
    const expiries = this._expiries.get(endpointId)
    if (expiries === undefined) return 0
    const now = this._clock.now()
    while (expiries.length > 0 && (expiries[0] as number) <= now) expiries.shift()
    if (expiries.length === 0) this._expiries.delete(endpointId)
    return expiries.length
  }

  /**
   * Adds permits for an endpoint.
   * @param endpointId id of the endpoint
   * @param count number of permits
   */
  add (endpointId: string, count: number): void {
    const expiries = this._expiries.get(endpointId) ?? []
    const expiresAt = this._clock.now() + PermitTimes.LIFETIME_MS
    for (let number = 0; number < count; number += 1) expiries.push(expiresAt)
    this._expiries.set(endpointId, expiries)
  }

  /**
   * Forgets the permits for an endpoint that is gone.
   * @param endpointId id of the endpoint
   */
  remove (endpointId: string): void {
    this._expiries.delete(endpointId)
  }

  /**
   * Uses up the permit for an endpoint that expires first, if there is one.
   * @param endpointId id of the endpoint
   */
  take (endpointId: string): void {
    if (this.count(endpointId) > 0) this._expiries.get(endpointId)?.shift()
  }
}
