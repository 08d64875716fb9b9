import { authorizeRequest } from '@mimosarock/gateway/caller/authorize-request.js'
import { createConfigurationAgeLimits } from '@mimosarock/gateway/caller/create-configuration-age-limits.js'
import type { CallerRequest } from '@mimosarock/gateway/model/caller-request.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import type { Route } from '@mimosarock/gateway/model/route.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { KnowledgeFleet } from './knowledge-fleet.js'
import { plainCodec } from './plain-codec.js'

/**
 * Returns the names of the routers that refuse a request for good although a configuration allows it.
 * @param fleet the fleet
 * @param configuration configuration whose last route the request is for
 * @param boundMs time within which a configuration has to be in force
 */
export function finalRefusals (fleet: KnowledgeFleet, configuration: GatewayConfiguration, boundMs: number): readonly string[] {
  const { host, pathPrefix } = configuration.routes.at(-1) as Route
  const caller = plainCodec.readCallerRequest(['request-id', 'r1']) as CallerRequest
  return fleet.order.filter((name) => {
    try {
      authorizeRequest(caller, host, pathPrefix, fleet.stateOf(name).configuration, { ...createConfigurationAgeLimits({ keyAgeLimitMs: 0, propagationBounds: { endpointsMs: boundMs, configurationMs: boundMs } }), lackingMs: Infinity })
      return false
    } catch (error) {
      return (error as MimosarockError).code !== ResultCode.CONFIGURATION_OUTDATED
    }
  })
}
