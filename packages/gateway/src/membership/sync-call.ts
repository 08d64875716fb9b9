import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'

/** Sends a sync request to the router at an address and returns its answer. */
export type SyncCall = (address: string, request: SyncRequest) => Promise<SyncAnswer>
