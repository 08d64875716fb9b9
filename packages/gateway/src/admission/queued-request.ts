import type { QueueEntry } from './queue-entry.js'

/** A request that is queued until capacity is free. */
export interface QueuedRequest extends QueueEntry {
  /** Ends the wait: admits the request, or rejects it if an error is given. */
  readonly settle: (error?: Error) => void
}
