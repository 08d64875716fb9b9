import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import { RouteKind } from '@mimosarock/gateway/model/route-kind.js'
import type { Route } from '@mimosarock/gateway/model/route.js'

function route (name: string, kind: RouteKind, changes: Partial<Route> = {}): Route {
  return {
    name,
    host: 'h',
    pathPrefix: `/${name}/`,
    kind,
    shares: [{ service: 'app', weight: 1 }],
    timeoutMs: 5_000,
    objectiveMs: 300,
    maximumAttempts: 2,
    priority: 0,
    isPublic: true,
    isResumable: false,
    ...changes
  }
}

/**
 * Returns a configuration with a route of each kind.
 * @param version version of the configuration
 */
export function createConfiguration (version: number): GatewayConfiguration {
  return {
    version,
    routes: [
      route('read', RouteKind.IDEMPOTENT),
      route('pay', RouteKind.ONCE, { maximumAttempts: 1 }),
      route('stream', RouteKind.STREAM, { maximumAttempts: 1 }),
      route('resume', RouteKind.STREAM, { isResumable: true }),
      route('short', RouteKind.ONCE, { timeoutMs: 150 }),
      route('keyed', RouteKind.IDEMPOTENT, { isPublic: false, priority: 3 })
    ],
    services: [{ name: 'app', maximumConnections: 50 }],
    limits: { headerBytes: 2_000, bodyBytes: 1_000, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 },
    workspaces: [{ name: 'w', apiKeys: ['k1'], priority: undefined }, { name: 'urgent', apiKeys: ['k2'], priority: 1 }]
  }
}
