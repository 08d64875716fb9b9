import type { EndpointEntry } from '../model/endpoint-entry.js'
import { CallOutcome } from '../sending/call-outcome.js'
import type { CallResult } from '../sending/call-result.js'
import type { WarmUpTable } from '../warm-up/warm-up-table.js'

/** Error code of a connection that the endpoint has refused. */
const REFUSED = 'ECONNREFUSED'

/**
 * Records what the result of a call tells of a cold endpoint: one that loses or refuses connections may have restarted.
 * @param warmUps cold endpoints
 * @param endpoint endpoint that was called
 * @param result result of the call
 */
export function recordWarmth (warmUps: WarmUpTable, endpoint: EndpointEntry, { outcome, isConnectionLost, problem }: CallResult): void {
  if (outcome === CallOutcome.COMPLETE) warmUps.succeeded(endpoint)
  else if (isConnectionLost || (outcome === CallOutcome.NOT_SENT && problem === REFUSED)) warmUps.connectionLost(endpoint)
}
