import { create } from '@bufbuild/protobuf'
import type { RouterHorizon } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { RouterHorizonSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Routers whose horizons are remembered; the one that has been quiet for longest is forgotten first. */
const MAXIMUM_ROUTERS = 64

/**
 * Oldest key time that can still win. It only grows, and only by what intents carry, so that it is the same
 * for every reader at the same offset.
 *
 * One router with a wrong clock must not shut out the keys of all others, so the horizon follows the second
 * highest of the routers' own horizons. Cost: a fleet of one router drops nothing until it is restarted.
 */
export class LedgerHorizon {
  private readonly _byRouter = new Map<string, number>()
  private _valueMs = 0

  /** Keys older than this can't win, in milliseconds since the epoch. */
  get valueMs (): number {
    return this._valueMs
  }

  /**
   * Notes the horizon of a router.
   * @param routerId the router that wrote an intent
   * @param horizonMs oldest key time that it takes
   */
  note (routerId: string, horizonMs: number): void {
    const highest = Math.max(horizonMs, this._byRouter.get(routerId) ?? 0)
    // Deleting first keeps the map in the order of the routers' last intents.
    this._byRouter.delete(routerId)
    this._byRouter.set(routerId, highest)
    this._forgetOldest()
    const descending = [...this._byRouter.values()].sort((left, right) => right - left)
    this._valueMs = Math.max(this._valueMs, descending[1] ?? 0)
  }

  /** The routers' horizons in the order of their last intents. */
  list (): RouterHorizon[] {
    return [...this._byRouter].map(([routerId, horizonMs]) =>
      create(RouterHorizonSchema, { routerId, horizonMs: BigInt(horizonMs) }))
  }

  /**
   * Replaces everything by a checkpoint's.
   * @param valueMs the horizon, in milliseconds since the epoch
   * @param byRouter what list gave
   */
  replace (valueMs: number, byRouter: readonly RouterHorizon[]): void {
    this._valueMs = valueMs
    this._byRouter.clear()
    for (const router of byRouter) this._byRouter.set(router.routerId, Number(router.horizonMs))
  }

  private _forgetOldest (): void {
    if (this._byRouter.size <= MAXIMUM_ROUTERS) return
    const oldest = this._byRouter.keys().next()
    if (!oldest.done) this._byRouter.delete(oldest.value)
  }
}
