import { RouterSettings } from '@mimosarock/router/settings/router-settings.js'
import type { RouterSettingsInput } from './router-settings-input.js'

/** Loopback address with a port that the system picks. */
const LOOPBACK = '127.0.0.1:0'

/**
 * Settings of one router of a fleet.
 * @param availabilityZone where the router stands
 * @param logServiceUrl base URL of the log service
 * @param vmListUrl base URL of the VM list
 * @param own settings over the fleet's own
 */
export function fleetRouterSettings (availabilityZone: string, logServiceUrl: string, vmListUrl: string, own: RouterSettingsInput = {}): RouterSettings {
  const base: Record<string, object> = {
    router: { availability_zone: availabilityZone },
    callers: { address: LOOPBACK },
    forwards: { address: LOOPBACK },
    peers: { address: LOOPBACK },
    operators: { address: LOOPBACK },
    platform: { log_service_url: logServiceUrl, vm_list_url: vmListUrl },
    stopping: { notice_ms: 0 }
  }
  for (const [section, values] of Object.entries(own)) base[section] = { ...base[section], ...values }
  return RouterSettings.parse(base)
}
