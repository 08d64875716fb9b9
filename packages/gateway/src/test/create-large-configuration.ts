import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import type { Route } from '@mimosarock/gateway/model/route.js'
import { createConfiguration } from './create-configuration.js'
import { seededRandom } from './seeded-random.js'

const DISTINCT_NAMES = 2 ** 40

/**
 * Returns the configuration of `createConfiguration` with more routes, whose names are as random as those of real
 * deployments, which limits how well they can be compressed.
 * @param version version of the configuration
 * @param addedRoutes number of added routes
 */
export function createLargeConfiguration (version: number, addedRoutes: number): GatewayConfiguration {
  const random = seededRandom(7)
  const word = (): string => Math.floor(random() * DISTINCT_NAMES).toString(36)
  const configuration = createConfiguration(version)
  const template = configuration.routes[0] as Route
  const added = Array.from({ length: addedRoutes }, () => ({ ...template, name: word(), host: `${word()}.example`, pathPrefix: `/${word()}/` }))
  return { ...configuration, routes: [...configuration.routes, ...added] }
}
