import type { PeerCalls } from '@mimosarock/gateway/membership/peer-calls.js'
import type { SyncCall } from '@mimosarock/gateway/membership/sync-call.js'

/**
 * Creates the calls of a router to others that answer sync requests only.
 * @param sync sends a sync request
 */
export function createPeerCalls (sync: SyncCall): PeerCalls {
  return { sync, configurationNews: async () => await Promise.reject(new Error('the router answers sync requests only')) }
}
