import type { AdmissionTicket } from '@mimosarock/placement/admission-ticket.js'
import type { DispatchCall } from '../forward/dispatch-call.js'

/** Admission control for calls to endpoints: admits a call at once, queues it or refuses it. */
export interface CallAdmission {
  /**
   * Admits a call, if necessary after it has waited in the endpoint's queue.
   * @param call call with its endpoint, load and deadline; its `waitMs` is the upper bound on the time in the queue
   * @param signal cancels the wait
   * @returns a ticket; releasing it frees the admitted load
   * @throws {MimosarockError} ENDPOINT_OVER_BOUND, CONTEXT_ELSEWHERE, QUEUE_FULL, DEADLINE_CANNOT_BE_MET,
   * NO_ENDPOINT if the pool is unknown, or CALLER_GONE if the signal is aborted; always `not-run`
   */
  admit (call: DispatchCall, signal: AbortSignal): Promise<AdmissionTicket>
}
