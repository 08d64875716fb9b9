import type { AdmissionRequest } from './admission-request.js'
import type { AdmissionTicket } from './admission-ticket.js'
import type { FairQueueEntry } from './fair-queue-entry.js'

/** A request that waits for admission. */
export interface QueuedRequest extends FairQueueEntry {
  readonly request: AdmissionRequest
  /** Ends the wait's timer. */
  readonly timer: AbortController
  readonly resolve: (ticket: AdmissionTicket) => void
  readonly reject: (error: unknown) => void
}
