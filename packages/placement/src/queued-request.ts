import type { AdmissionRequest } from './admission-request.js'
import type { AdmissionTicket } from './admission-ticket.js'
import type { FairQueueEntry } from './fair-queue-entry.js'

/** Request in the queue of an endpoint, with the callbacks that settle its admission. */
export interface QueuedRequest extends FairQueueEntry {
  readonly request: AdmissionRequest
  /** Cancels the queue timeout and removes the abort listener of the caller. */
  readonly timer: AbortController
  readonly resolve: (ticket: AdmissionTicket) => void
  readonly reject: (error: unknown) => void
}
