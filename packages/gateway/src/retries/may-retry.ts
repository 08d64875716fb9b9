import { isIdempotent } from '../model/is-idempotent.js'
import { RouteKind } from '../model/route-kind.js'
import type { Route } from '../model/route.js'
import { CallOutcome } from '../sending/call-outcome.js'
import type { AttemptCounts } from './attempt-counts.js'
import type { ResponseProgress } from './response-progress.js'

/** Maximum attempts per request, including those that never ran; prevents endless retries. */
const MAXIMUM_TOTAL_ATTEMPTS = 4

/**
 * Returns whether a request may be sent to another endpoint without running more often than its route allows. The retry
 * budget is checked separately.
 * @param route route of the request
 * @param outcome outcome of the last attempt
 * @param attempts number of attempts made
 * @param progress what the caller has received of a response
 */
export function mayRetry (route: Route, outcome: CallOutcome, attempts: AttemptCounts, { isStarted, canContinue }: ResponseProgress): boolean {
  if (attempts.total >= MAXIMUM_TOTAL_ATTEMPTS) return false
  if (outcome === CallOutcome.ABORTED) return false
  if (route.kind === RouteKind.STREAM && !canContinue) return false
  // The request has not run, so even one that may run at most once can be sent again.
  if (outcome === CallOutcome.NOT_SENT || outcome === CallOutcome.REJECTED) return true
  if (attempts.runs >= route.maximumAttempts) return false
  if (!isIdempotent(route)) return false
  return route.kind === RouteKind.STREAM || !isStarted
}
