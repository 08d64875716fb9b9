import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { Service } from '../model/service.js'
import type { Workspace } from '../model/workspace.js'
import { RouteTable } from './route-table.js'

/** A configuration with the indexes that requests need. */
export class ConfigurationInForce {
  /** The configuration. */
  readonly configuration: GatewayConfiguration
  /** Its routes. */
  readonly routes: RouteTable
  private readonly _services = new Map<string, Service>()
  private readonly _workspaces = new Map<string, Workspace>()

  /**
   * @param configuration to index
   */
  constructor (configuration: GatewayConfiguration) {
    this.configuration = configuration
    this.routes = new RouteTable(configuration)
    for (const service of configuration.services) this._services.set(service.name, service)
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.apiKeys) this._workspaces.set(key, workspace)
    }
  }

  /** Whether requests need a key at all. */
  get needsKeys (): boolean {
    return this.configuration.workspaces !== undefined
  }

  /**
   * A service by name.
   * @param name of the service
   */
  service (name: string): Service | undefined {
    return this._services.get(name)
  }

  /**
   * The workspace that holds a key.
   * @param apiKey as the caller sent it
   */
  workspaceOf (apiKey: string): Workspace | undefined {
    return this._workspaces.get(apiKey)
  }
}
