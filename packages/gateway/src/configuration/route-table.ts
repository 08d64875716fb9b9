import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { Route } from '../model/route.js'

/** Finds the route of a request: of its host's routes, the one with the longest prefix that begins the path. */
export class RouteTable {
  private readonly _byHost = new Map<string, Route[]>()

  /**
   * @param configuration whose routes are indexed
   */
  constructor (configuration: GatewayConfiguration) {
    for (const route of configuration.routes) {
      const routes = this._byHost.get(route.host)
      if (routes === undefined) this._byHost.set(route.host, [route])
      else routes.push(route)
    }
    for (const routes of this._byHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  }

  /**
   * The route of a request.
   * @param host as the caller named it
   * @param path with its leading slash, without the query
   */
  find (host: string, path: string): Route | undefined {
    return this._byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix))
  }
}
