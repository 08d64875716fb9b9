import type { CallerRequest } from '../model/caller-request.js'
import type { Route } from '../model/route.js'

/** A request that the configuration allows. */
export interface AdmittedRequest {
  /** What its headers say. */
  readonly caller: CallerRequest
  /** Its route. */
  readonly route: Route
  /** Service that runs it. */
  readonly service: string
  /** Workspace of the caller; undefined on public routes. */
  readonly workspace: string | undefined
  /** Rank, the workspace's before the route's; 0 is the most urgent. */
  readonly priority: number
  /** Version of the configuration that allowed it. */
  readonly configurationVersion: number
}
