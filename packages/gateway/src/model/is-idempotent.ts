import { RouteKind } from './route-kind.js'
import type { Route } from './route.js'

/**
 * Returns whether the requests of a route may run more than once.
 * @param route kind of the route, and whether its streams may be resumed
 */
export function isIdempotent ({ kind, isResumable }: Pick<Route, 'kind' | 'isResumable'>): boolean {
  return kind === RouteKind.IDEMPOTENT || (kind === RouteKind.STREAM && isResumable)
}
