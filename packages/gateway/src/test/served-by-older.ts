import { authorizeRequest } from '@mimosarock/gateway/caller/authorize-request.js'
import { createConfigurationAgeLimits } from '@mimosarock/gateway/caller/create-configuration-age-limits.js'
import type { CallerRequest } from '@mimosarock/gateway/model/caller-request.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import type { Route } from '@mimosarock/gateway/model/route.js'
import type { KnowledgeFleet } from './knowledge-fleet.js'
import { plainCodec } from './plain-codec.js'

/**
 * Returns the names of the routers that serve a request by an older version of the configuration.
 * @param fleet the fleet
 * @param older version to whose first route the request is sent
 * @param version number of the version that has to be in force
 * @param boundMs time within which a version has to be in force
 */
export function servedByOlder (fleet: KnowledgeFleet, older: GatewayConfiguration, version: number, boundMs: number): readonly string[] {
  const { host, pathPrefix } = older.routes[0] as Route
  const caller = plainCodec.readCallerRequest(['request-id', 'r1']) as CallerRequest
  const limits = createConfigurationAgeLimits({ keyAgeLimitMs: 0, propagationBounds: { endpointsMs: boundMs, configurationMs: boundMs } })
  return fleet.order.filter((name) => {
    try {
      return authorizeRequest(caller, host, pathPrefix, fleet.stateOf(name).configuration, limits).configurationVersion < version
    } catch {
      return false
    }
  })
}
