import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { Route } from '../model/route.js'

/** Finds the route of a request by its host and the longest matching path prefix. */
export class RouteTable {
  private readonly _byHost = new Map<string, Route[]>()

  /**
   * @param configuration configuration with the routes to index
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
   * Returns the route of a request; undefined if none matches.
   * @param host host from the request
   * @param path path with its leading slash, without the query
   */
  find (host: string, path: string): Route | undefined {
    return this._byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix))
  }
}
