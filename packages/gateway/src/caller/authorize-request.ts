import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { CallerRequest } from '../model/caller-request.js'
import type { Route } from '../model/route.js'
import type { Workspace } from '../model/workspace.js'
import type { AuthorizedRequest } from './authorized-request.js'
import { notRunError } from './not-run-error.js'
import { pickService } from './pick-service.js'

/** Retry delay for callers while this router lacks the newest version; it arrives soon, and other routers have it. */
const OUTDATED_RETRY_MS = 400
/** Retry delay for callers while this router has no fresh configuration; other routers may have one. */
const NO_CONFIGURATION_RETRY_MS = 400

/**
 * Authorizes a request and determines its route, workspace and service.
 * @param caller request metadata from the caller's headers
 * @param host value of the Host header
 * @param target request target: path and query
 * @param state configuration to decide by
 * @param keyAgeLimitMs staleness of the API keys above which requests that need one are rejected, in milliseconds; 0 for no limit
 * @throws MimosarockError if the request is not allowed, or the configuration is missing or too stale to decide; CONFIGURATION_OUTDATED if the
 * version in force does not allow it and this router lacks a newer one, which may
 */
export function authorizeRequest (
  caller: CallerRequest, host: string, target: string, state: ConfigurationState, keyAgeLimitMs: number
): AuthorizedRequest {
  const inForce = state.inForce
  if (inForce === undefined) {
    throw notRunError(ResultCode.CONFIGURATION_NOT_LOADED, 'no configuration has been loaded yet', NO_CONFIGURATION_RETRY_MS)
  }
  const path = pathOf(target)
  const route = inForce.routes.find(host, path)
  if (route === undefined) throw notAllowedError(ResultCode.ROUTE_UNKNOWN, 'no route matches the host and path', state)
  const workspace = workspaceOf(caller, route, inForce, state, keyAgeLimitMs)
  return {
    caller,
    route,
    host,
    path,
    service: pickService(route.shares, caller.id),
    workspace: workspace?.name,
    workspaceHomeRegions: workspace?.homeRegions,
    priority: workspace?.priority ?? route.priority,
    configurationVersion: inForce.configuration.version
  }
}

function workspaceOf (
  caller: CallerRequest, route: Route, inForce: ConfigurationInForce, state: ConfigurationState, keyAgeLimitMs: number
): Workspace | undefined {
  if (!inForce.requiresApiKeys || route.isPublic) return undefined
  // Fails closed: a key may have been revoked while this router could not read the configuration.
  if (keyAgeLimitMs > 0 && state.ageMs > keyAgeLimitMs) {
    throw notRunError(ResultCode.CONFIGURATION_NOT_LOADED, 'the API keys known to this router are stale', NO_CONFIGURATION_RETRY_MS)
  }
  const workspace = caller.apiKey === undefined ? undefined : inForce.workspaceOf(caller.apiKey)
  if (workspace === undefined) throw notAllowedError(ResultCode.UNAUTHENTICATED, 'unknown API key', state)
  return workspace
}

function notAllowedError (code: ResultCode, message: string, { awaited }: ConfigurationState): MimosarockError {
  // A refusal is final only if no newer version may allow the request.
  if (awaited.version === undefined) return new MimosarockError(code, message)
  return notRunError(ResultCode.CONFIGURATION_OUTDATED, `${message} in the version in force, and a newer one is awaited`, OUTDATED_RETRY_MS)
}

function pathOf (target: string): string {
  const query = target.indexOf('?')
  return query < 0 ? target : target.slice(0, query)
}
