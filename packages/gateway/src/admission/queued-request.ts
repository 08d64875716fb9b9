import type { FairQueueEntry } from '@mimosarock/placement/fair-queue-entry.js'
import type { RequestRank } from './request-rank.js'

/** A request that is queued until capacity is free. */
export interface QueuedRequest extends FairQueueEntry, RequestRank {
  /** Ends the wait: admits the request, or rejects it if an error is given. */
  readonly settle: (error?: Error) => void
}
