import type { CallerRequest } from '../model/caller-request.js'
import type { Route } from '../model/route.js'

/** A request that the configuration allows, with the route and service that it is sent to. */
export interface AuthorizedRequest {
  /** Request metadata from the caller's headers. */
  readonly caller: CallerRequest
  /** Route that matches the host and path. */
  readonly route: Route
  /** Value of the Host header. */
  readonly host: string
  /** Path of the request, without the query. */
  readonly path: string
  /** Name of the service that runs the request. */
  readonly service: string
  /** Name of the caller's workspace; undefined on public routes and where no API keys are configured. */
  readonly workspace: string | undefined
  /** Home regions of the workspace; undefined if it has none. */
  readonly workspaceHomeRegions?: readonly string[] | undefined
  /** Priority of the workspace, or of the route if the workspace sets none; 0 is the most urgent. */
  readonly priority: number
  /** Version of the configuration that the decision is based on. */
  readonly configurationVersion: number
}
