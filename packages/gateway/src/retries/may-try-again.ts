import { RouteKind } from '../model/route-kind.js'
import type { Route } from '../model/route.js'
import { CallOutcome } from '../sending/call-outcome.js'
import type { TriesSoFar } from './tries-so-far.js'

/** Tries of one request, counting those that never ran; a bound against endless rounds. */
const MAXIMUM_TRIES = 4

/**
 * Whether a request may be sent to another endpoint, by what may be repeated. The budget is asked apart.
 * @param route of the request
 * @param outcome of the last try
 * @param soFar what was tried
 * @param isStarted whether the caller has part of an answer
 */
export function mayTryAgain (route: Route, outcome: CallOutcome, soFar: TriesSoFar, isStarted: boolean): boolean {
  if (soFar.tries >= MAXIMUM_TRIES) return false
  if (outcome === CallOutcome.ABORTED) return false
  // These have not run: even a call that may run only once can be sent again.
  if (outcome === CallOutcome.NOT_SENT || outcome === CallOutcome.REJECTED) return true
  if (soFar.runs >= route.maximumAttempts) return false
  if (route.kind === RouteKind.STREAM) return route.isResumable
  return route.kind === RouteKind.IDEMPOTENT && !isStarted
}
