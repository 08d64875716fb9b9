import { RouterSettings } from '@mimosarock/router/settings/router-settings.js'
import type { RouterSettingsInput } from './router-settings-input.js'

/** Loopback address with a port that the operating system assigns. */
const LOOPBACK = '127.0.0.1:0'

/**
 * Creates the settings of one router of a fleet.
 * @param availabilityZone availability zone of the router
 * @param logServiceUrl base URL of the log service
 * @param vmListUrl base URL of the VM list
 * @param overrides settings that override the fleet's settings key by key
 */
export function fleetRouterSettings (availabilityZone: string, logServiceUrl: string, vmListUrl: string, overrides: RouterSettingsInput = {}): RouterSettings {
  const settings: Record<string, object> = {
    router: { availability_zone: availabilityZone },
    callers: { address: LOOPBACK },
    forwards: { address: LOOPBACK },
    peers: { address: LOOPBACK },
    operators: { address: LOOPBACK },
    platform: { log_service_url: logServiceUrl, vm_list_url: vmListUrl },
    stopping: { notice_ms: 0 }
  }
  for (const [section, values] of Object.entries(overrides)) settings[section] = { ...settings[section], ...values }
  return RouterSettings.parse(settings)
}
