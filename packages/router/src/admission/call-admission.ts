import type { AdmissionTicket } from '@mimosarock/placement/admission-ticket.js'
import type { DispatchCall } from '../forward/dispatch-call.js'

/** Decides whether an endpoint takes a call now, later or not. */
export interface CallAdmission {
  /**
   * Admits a call, perhaps after a wait in the endpoint's queue.
   * @param call the call; its waitMs bounds the wait
   * @param signal ends the wait
   * @returns a ticket that gives the admitted load back
   * @throws {MimosarockError} ENDPOINT_OVER_BOUND, CONTEXT_ELSEWHERE, QUEUE_FULL, DEADLINE_CANNOT_BE_MET; `not-run`
   */
  admit (call: DispatchCall, signal: AbortSignal): Promise<AdmissionTicket>
}
