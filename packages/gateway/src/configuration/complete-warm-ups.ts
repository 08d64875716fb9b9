import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { Service } from '../model/service.js'
import type { WarmUpRule } from '../model/warm-up-rule.js'

/**
 * Replaces the invalid fields of warm-up rules by those of the version in force.
 * @param next version that is about to be adopted
 * @param inForce version in force; undefined if there is none
 * @returns the version without incomplete rules
 */
export function completeWarmUps (next: GatewayConfiguration, inForce: GatewayConfiguration | undefined): GatewayConfiguration {
  if (next.services.every(({ incompleteWarmUp }) => incompleteWarmUp === undefined)) return next
  return { ...next, services: next.services.map((service) => complete(service, inForce?.services.find(({ name }) => name === service.name)?.warmUp)) }
}

function complete ({ incompleteWarmUp, ...service }: Service, last: WarmUpRule | undefined): Service {
  if (incompleteWarmUp === undefined) return service
  const { durationMs = 0, requestsPerSecond = 0 } = { ...last, ...incompleteWarmUp }
  return durationMs > 0 && requestsPerSecond > 0 ? { ...service, warmUp: { durationMs, requestsPerSecond } } : service
}
