import type { GatewaySettings } from '../settings/gateway-settings.js'
import type { ConfigurationAgeLimits } from './configuration-age-limits.js'

/** Subtracted from the staleness limit of API keys, to allow for errors of clocks and timers. */
const KEY_AGE_MARGIN_MS = 250
/**
 * Part of the time within which a version of the configuration has to be in force that may have passed when the first router knows of it, in milliseconds.
 */
const ACKNOWLEDGEMENT_ALLOWANCE_MS = 400
/** Minimum time for which a version may be lacked, in milliseconds; its content takes some of it also where the bound is shorter. */
const MINIMUM_LACKING_MS = 800

/**
 * Derives how old the configuration may be for decisions on requests.
 * @param settings bounds of the deployment
 */
export function createConfigurationAgeLimits ({ keyAgeLimitMs, propagationBounds: { configurationMs } }: Pick<GatewaySettings, 'keyAgeLimitMs' | 'propagationBounds'>): ConfigurationAgeLimits {
  return {
    keysMs: Math.max(0, keyAgeLimitMs - KEY_AGE_MARGIN_MS),
    refusalMs: configurationMs,
    lackingMs: Math.max(MINIMUM_LACKING_MS, configurationMs - ACKNOWLEDGEMENT_ALLOWANCE_MS)
  }
}
