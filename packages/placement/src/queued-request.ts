import type { AdmissionRequest } from './admission-request.js'
import type { AdmissionTicket } from './admission-ticket.js'
import type { FairQueueEntry } from './fair-queue-entry.js'

/** Request in the queue of an endpoint, with the callbacks that settle its admission. */
export interface QueuedRequest extends FairQueueEntry {
  readonly request: AdmissionRequest
  /** Aborted when the request leaves the queue; cancels the queue timeout and removes the caller's abort listener. */
  readonly waitController: AbortController
  readonly resolve: (ticket: AdmissionTicket) => void
  readonly reject: (error: unknown) => void
}
