import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'

/** Sends one request to another router and returns its answer. */
export type SyncCall = (address: string, request: SyncRequest) => Promise<SyncAnswer>
