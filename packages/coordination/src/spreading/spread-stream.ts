import type { StreamReplica } from '../stream-replica.js'

/** A stream that routers learn from each other as well. */
export interface SpreadStream {
  readonly replica: StreamReplica
  /**
   * Whether a peer's word may count as proof that nothing is missing; always, if left out. The configuration
   * also asks that no router of the fleet reports a higher revision.
   */
  mayProve? (): boolean
}
