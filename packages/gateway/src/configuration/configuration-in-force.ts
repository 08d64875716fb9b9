import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { Service } from '../model/service.js'
import type { Workspace } from '../model/workspace.js'
import { RouteTable } from './route-table.js'

/** A configuration with its lookup indexes for routes, services and API keys. */
export class ConfigurationInForce {
  /** The indexed configuration. */
  readonly configuration: GatewayConfiguration
  /** Routes by host and path prefix. */
  readonly routes: RouteTable
  /** Whether a route or a workspace has home regions. */
  readonly hasHomeRegions: boolean
  private readonly _services = new Map<string, Service>()
  private readonly _workspaces = new Map<string, Workspace>()
  /** Workspaces by name; undefined until it is needed. */
  private _workspacesByName: ReadonlyMap<string, Workspace> | undefined

  /**
   * @param configuration configuration to index
   */
  constructor (configuration: GatewayConfiguration) {
    this.configuration = configuration
    this.routes = new RouteTable(configuration)
    this.hasHomeRegions = [...configuration.routes, ...configuration.workspaces ?? []].some(({ homeRegions }) => homeRegions !== undefined)
    for (const service of configuration.services) this._services.set(service.name, service)
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.apiKeys) this._workspaces.set(key, workspace)
    }
  }

  /**
   * Whether the configuration defines workspaces, which makes requests to routes that are not public require an API
   * key.
   */
  get requiresApiKeys (): boolean {
    return this.configuration.workspaces !== undefined
  }

  /**
   * Returns a service; undefined if there is none of that name.
   * @param name name of the service
   */
  service (name: string): Service | undefined {
    return this._services.get(name)
  }

  /**
   * Returns the workspace that an API key belongs to; undefined if the key is unknown.
   * @param apiKey key as the caller sent it
   */
  workspaceOf (apiKey: string): Workspace | undefined {
    return this._workspaces.get(apiKey)
  }

  /**
   * Returns a workspace; undefined if there is none of that name.
   * @param name name of the workspace
   */
  workspace (name: string): Workspace | undefined {
    this._workspacesByName ??= new Map((this.configuration.workspaces ?? []).map((workspace) => [workspace.name, workspace]))
    return this._workspacesByName.get(name)
  }
}
