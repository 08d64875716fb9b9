import type { EndpointLimits } from '../limits/endpoint-limits.js'
import type { RateLimits } from '../limits/rate-limits.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { WarmUpTable } from './warm-up-table.js'

/** Rate limits of endpoints: the smaller of what an endpoint states and what it takes because it is cold. */
export class EffectiveLimits implements RateLimits {
  private readonly _stated: EndpointLimits
  private readonly _warmUps: WarmUpTable

  /**
   * @param stated limits that endpoints state
   * @param warmUps cold endpoints
   */
  constructor (stated: EndpointLimits, warmUps: WarmUpTable) {
    this._stated = stated
    this._warmUps = warmUps
  }

  get isEmpty (): boolean {
    return this._stated.isEmpty && this._warmUps.isEmpty
  }

  get limitedIds (): readonly string[] {
    return [...new Set([...this._stated.limitedIds, ...this._warmUps.limitedIds])]
  }

  limitOf (endpoint: EndpointEntry): number | undefined {
    return smaller(this._stated.limitOf(endpoint), this._warmUps.limitOf(endpoint))
  }

  permitRateOf (endpoint: EndpointEntry): number | undefined {
    return smaller(this._stated.permitRateOf(endpoint), this._warmUps.permitRateOf(endpoint))
  }

  removeExpired (): void {
    this._stated.removeExpired()
    this._warmUps.removeExpired()
  }
}

function smaller (left: number | undefined, right: number | undefined): number | undefined {
  return left === undefined || right === undefined ? left ?? right : Math.min(left, right)
}
