import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { CallerRequest } from '../model/caller-request.js'
import type { Route } from '../model/route.js'
import type { Workspace } from '../model/workspace.js'
import type { AdmittedRequest } from './admitted-request.js'
import { notRun } from './not-run.js'
import { pickShare } from './pick-share.js'

/** When to come back while this router has no fresh configuration; others may have one. */
const NO_CONFIGURATION_RETRY_MS = 400

/**
 * Finds the route, the workspace and the service of a request.
 * @param caller what the headers say
 * @param host that the caller named
 * @param target path and query
 * @param state the configuration
 * @param keyAgeLimitMs age of the keys above which requests that need one are refused, in milliseconds; 0 for never
 * @throws MimosarockError if it is not allowed, or can't be decided now
 */
export function admitRequest (
  caller: CallerRequest, host: string, target: string, state: ConfigurationState, keyAgeLimitMs: number
): AdmittedRequest {
  const inForce = state.inForce
  if (inForce === undefined) {
    throw notRun(ResultCode.CONFIGURATION_NOT_LOADED, 'no configuration is known yet', NO_CONFIGURATION_RETRY_MS)
  }
  const route = inForce.routes.find(host, pathOf(target))
  if (route === undefined) throw new MimosarockError(ResultCode.ROUTE_UNKNOWN, 'no route matches host and path')
  const workspace = workspaceOf(caller, route, inForce, state, keyAgeLimitMs)
  return {
    caller,
    route,
    service: pickShare(route.shares, caller.id),
    workspace: workspace?.name,
    priority: workspace?.priority ?? route.priority,
    configurationVersion: inForce.configuration.version
  }
}

function workspaceOf (
  caller: CallerRequest, route: Route, inForce: ConfigurationInForce, state: ConfigurationState, keyAgeLimitMs: number
): Workspace | undefined {
  if (!inForce.requiresApiKeys || route.isPublic) return undefined
  // A key that was taken away while this router could not learn of it must not be honoured.
  if (keyAgeLimitMs > 0 && state.ageMs > keyAgeLimitMs) {
    throw notRun(ResultCode.CONFIGURATION_NOT_LOADED, 'the keys known here are too old', NO_CONFIGURATION_RETRY_MS)
  }
  const workspace = caller.apiKey === undefined ? undefined : inForce.workspaceOf(caller.apiKey)
  if (workspace === undefined) throw new MimosarockError(ResultCode.UNAUTHENTICATED, 'the key is not known')
  return workspace
}

function pathOf (target: string): string {
  const query = target.indexOf('?')
  return query < 0 ? target : target.slice(0, query)
}
