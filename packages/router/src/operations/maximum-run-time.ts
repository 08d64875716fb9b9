import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import { OUTCOME_GRACE_MS } from './outcome-grace.js'

/** Deadline of a route that sets none or that has been removed from the configuration. */
const DEFAULT_DEADLINE_MS = 30_000

/**
 * Returns the maximum time that a call may run after its attempt has won the key, in milliseconds: the route's deadline
 * and the grace time.
 * @param configuration configuration with the route's deadline
 * @param route name of the route
 */
export function maximumRunTimeMs (configuration: ConfigurationSource, route: string): number {
  const deadlineMs = configuration.current()?.routes.get(route)?.deadlineMs ?? 0
  return (deadlineMs > 0 ? deadlineMs : DEFAULT_DEADLINE_MS) + OUTCOME_GRACE_MS
}
