import type { QueueEntry } from '../admission/queue-entry.js'
import type { SlotHolder } from './slot-holder.js'
import type { SlotListener } from './slot-listener.js'
import type { SlotRequest } from './slot-request.js'

/** A request for a slot that waits at the owner. */
export interface WaitingRequest extends QueueEntry {
  /** What is wanted. */
  readonly request: SlotRequest
  /** Router that wants it. */
  readonly holder: SlotHolder
  /** Receives the answer. */
  readonly listener: SlotListener
  /** Time until which it may wait, by the owner's clock. */
  readonly expiresAt: number
}
