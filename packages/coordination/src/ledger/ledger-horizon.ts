import { create } from '@bufbuild/protobuf'
import type { RouterHorizon } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { RouterHorizonSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Upper bound on the routers whose horizons are stored; the one whose last intent is oldest is evicted first. */
const MAXIMUM_ROUTERS = 64

/**
 * Oldest creation time at which a key can still be won. It never decreases and depends only on the intents, which
 * makes it the same for every replica at the same offset.
 *
 * The horizon is the second highest of the routers' own horizons, since one router with a wrong clock must not
 * lock out the keys of all others. As a consequence, a fleet of one router deletes nothing until the router restarts
 * with a new id.
 */
export class LedgerHorizon {
  private readonly _byRouter = new Map<string, number>()
  private _valueMs = 0

  /** Horizon in milliseconds since the epoch; an older key cannot be won. */
  get valueMs (): number {
    return this._valueMs
  }

  /**
   * Records the horizon of a router and advances the common horizon.
   * @param routerId id of the router that wrote an intent
   * @param horizonMs oldest key time that the router accepts, in milliseconds since the epoch
   */
  recordHorizon (routerId: string, horizonMs: number): void {
    const highest = Math.max(horizonMs, this._byRouter.get(routerId) ?? 0)
    // Deleting first maintains the map in the order of the routers' last intents.
    this._byRouter.delete(routerId)
    this._byRouter.set(routerId, highest)
    this._evictOldest()
    const descending = [...this._byRouter.values()].sort((left, right) => right - left)
    this._valueMs = Math.max(this._valueMs, descending[1] ?? 0)
  }

  /** Returns the horizons of the routers, in the order of their last intents. */
  list (): RouterHorizon[] {
    return [...this._byRouter].map(([routerId, horizonMs]) =>
      create(RouterHorizonSchema, { routerId, horizonMs: BigInt(horizonMs) }))
  }

  /**
   * Replaces the state with that of a checkpoint.
   * @param valueMs horizon, in milliseconds since the epoch
   * @param byRouter horizons of the routers as returned by `list`
   */
  replace (valueMs: number, byRouter: readonly RouterHorizon[]): void {
    this._valueMs = valueMs
    this._byRouter.clear()
    for (const router of byRouter) this._byRouter.set(router.routerId, Number(router.horizonMs))
  }

  private _evictOldest (): void {
    if (this._byRouter.size <= MAXIMUM_ROUTERS) return
    const oldest = this._byRouter.keys().next()
    if (!oldest.done) this._byRouter.delete(oldest.value)
  }
}
