import { PermitTimes } from '../limits/permit-times.js'
import type { WarmUpRule } from '../model/warm-up-rule.js'
import type { WarmUpBounds } from './warm-up-bounds.js'

const MS_PER_SECOND = 1_000
/**
 * Time whose permits can be used within one second, in seconds: that second, and before it the time for which a router may hold a permit,
 * another one may pass it on, and a pool may keep it.
 */
const ISSUING_TIME_S = 1 + (PermitTimes.LIFETIME_MS + PermitTimes.DEPOSIT_LIFETIME_MS + PermitTimes.BURST_MS) / MS_PER_SECOND
/** Permit that a pool holds in addition. */
const EXTRA_PERMITS = 1

/**
 * Returns the rate at which permits for a cold endpoint are issued, in requests a second. Even if permits of the longest possible time are
 * used within one second, the bound holds.
 * @param rule warm-up rule of the service
 * @param bounds settings of the bound
 */
export function permitRate ({ requestsPerSecond }: WarmUpRule, { overage, tolerance }: WarmUpBounds): number {
  const allowed = requestsPerSecond * overage + tolerance
  return Math.max(0, Math.min(requestsPerSecond, (allowed - EXTRA_PERMITS) / ISSUING_TIME_S))
}
