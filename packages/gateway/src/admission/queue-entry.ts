import type { FairQueueEntry } from '@mimosarock/placement/fair-queue-entry.js'
import type { RequestRank } from './request-rank.js'

/** Entry of `RankQueues`. */
export interface QueueEntry extends FairQueueEntry, RequestRank {}
