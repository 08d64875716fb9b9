import type { StreamReplica } from '../stream-replica.js'

/** A stream whose records and state routers also fetch from each other, not only from the log service. */
export interface CatchUpStream {
  readonly replica: StreamReplica
  /**
   * Returns whether a peer's report may count as proof that this replica misses no record. If omitted, it always may.
   * The configuration stream additionally requires that no router of the fleet reports a higher revision.
   */
  acceptsPeerProof? (): boolean
}
