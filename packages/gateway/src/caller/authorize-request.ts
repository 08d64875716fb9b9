import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { CallerRequest } from '../model/caller-request.js'
import type { Route } from '../model/route.js'
import type { Workspace } from '../model/workspace.js'
import type { AuthorizedRequest } from './authorized-request.js'
import type { ConfigurationAgeLimits } from './configuration-age-limits.js'
import { notRunError } from './not-run-error.js'
import { pickService } from './pick-service.js'

/** Retry delay for callers while this router lacks the newest version, or may lack it; it arrives soon, and other routers have it. */
const OUTDATED_RETRY_MS = 400
/** Retry delay for callers while this router has no fresh configuration; other routers may have one. */
const NO_CONFIGURATION_RETRY_MS = 400

/**
 * Authorizes a request and determines its route, workspace and service.
 * @param caller request metadata from the caller's headers
 * @param host value of the Host header
 * @param target request target: path and query
 * @param state configuration to decide by
 * @param ageLimits how old the configuration may be
 * @throws MimosarockError if the request is not allowed, or the configuration is missing or too stale to decide; CONFIGURATION_OUTDATED if the
 * version in force does not allow it and this router lacks a newer one, or may lack one, which may, or if this router has lacked a newer one for too long
 */
export function authorizeRequest (
  caller: CallerRequest, host: string, target: string, state: ConfigurationState, ageLimits: ConfigurationAgeLimits
): AuthorizedRequest {
  const inForce = state.inForce
  if (inForce === undefined) {
    throw notRunError(ResultCode.CONFIGURATION_NOT_LOADED, 'no configuration has been loaded yet', NO_CONFIGURATION_RETRY_MS)
  }
  requireInTime(state, ageLimits)
  const path = pathOf(target)
  const route = inForce.routes.find(host, path)
  if (route === undefined) throw notAllowedError(ResultCode.ROUTE_UNKNOWN, 'no route matches the host and path', state, ageLimits)
  const workspace = workspaceOf(caller, route, inForce, state, ageLimits)
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

function requireInTime ({ awaited }: ConfigurationState, { lackingMs }: ConfigurationAgeLimits): void {
  // What a newer version removes, or sends to another service, must not be served by an older one for longer than a change may take.
  if (awaited.lackedMs >= lackingMs) throw outdatedError('a newer version of the configuration is late')
}

function workspaceOf (
  caller: CallerRequest, route: Route, inForce: ConfigurationInForce, state: ConfigurationState, ageLimits: ConfigurationAgeLimits
): Workspace | undefined {
  if (!inForce.requiresApiKeys || route.isPublic) return undefined
  // Fails closed: a key may have been revoked while this router could not read the configuration.
  if (ageLimits.keysMs > 0 && state.ageMs > ageLimits.keysMs) {
    throw notRunError(ResultCode.CONFIGURATION_NOT_LOADED, 'the API keys known to this router are stale', NO_CONFIGURATION_RETRY_MS)
  }
  const workspace = caller.apiKey === undefined ? undefined : inForce.workspaceOf(caller.apiKey)
  if (workspace === undefined) throw notAllowedError(ResultCode.UNAUTHENTICATED, 'unknown API key', state, ageLimits)
  return workspace
}

function notAllowedError (code: ResultCode, message: string, { awaited, readAgeMs }: ConfigurationState, { refusalMs }: ConfigurationAgeLimits): MimosarockError {
  // A refusal is final only if no newer version may allow the request.
  if (awaited.version !== undefined) return outdatedError(`${message} in the version in force, and a newer one is awaited`)
  if (readAgeMs >= refusalMs) return outdatedError(`${message} in the version in force, and there may be a newer one`)
  return new MimosarockError(code, message)
}

function outdatedError (message: string): MimosarockError {
  return notRunError(ResultCode.CONFIGURATION_OUTDATED, message, OUTDATED_RETRY_MS)
}

function pathOf (target: string): string {
  const query = target.indexOf('?')
  return query < 0 ? target : target.slice(0, query)
}
