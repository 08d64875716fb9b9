import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { HomeRegions } from '../homes/home-regions.js'
import type { Homes } from '../homes/homes.js'
import type { AuthorizedRequest } from './authorized-request.js'

/**
 * Where requests may run by the configuration in force, which may have changed since they were authorized. Of a route or
 * workspace that the configuration no longer has, the list by which the request was authorized applies.
 */
export class CurrentHomes {
  private readonly _homeRegions: HomeRegions
  private readonly _configuration: ConfigurationState

  /**
   * @param homeRegions regions of the availability zones
   * @param configuration configuration to decide by
   */
  constructor (homeRegions: HomeRegions, configuration: ConfigurationState) {
    this._homeRegions = homeRegions
    this._configuration = configuration
  }

  /**
   * Returns the regions in which alone a request may run; undefined if it may run everywhere.
   * @param request the request, as it was authorized
   */
  of ({ route, host, path, workspace, workspaceHomeRegions, configurationVersion }: AuthorizedRequest): Homes | undefined {
    const inForce = this._configuration.inForce
    if (inForce === undefined || inForce.configuration.version === configurationVersion) {
      return this._homeRegions.homesOf(route.homeRegions, workspaceHomeRegions)
    }
    const currentRoute = inForce.routes.find(host, path) ?? route
    const currentWorkspace = workspace === undefined ? undefined : inForce.workspace(workspace)
    const regionsOfWorkspace = currentWorkspace === undefined ? workspaceHomeRegions : currentWorkspace.homeRegions
    return this._homeRegions.homesOf(currentRoute.homeRegions, regionsOfWorkspace)
  }
}
