import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import { OUTCOME_GRACE_MS } from './outcome-grace.js'

/** Deadline of a route that sets none, or that has been removed, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000

/**
 * Longest time that the winner of a key may take over its call, in milliseconds.
 * @param configuration gives the route's deadline
 * @param route name of the route
 */
export function runBoundMs (configuration: ConfigurationSource, route: string): number {
  const deadlineMs = configuration.current()?.routes.get(route)?.deadlineMs ?? 0
  return (deadlineMs > 0 ? deadlineMs : DEFAULT_DEADLINE_MS) + OUTCOME_GRACE_MS
}
