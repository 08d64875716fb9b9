import type { SlotGrant } from './slot-grant.js'
import type { SlotRefusal } from './slot-refusal.js'

/** Receives the answers to one request for a slot. */
export interface SlotListener {
  /**
   * Called if no slot is free, before the final answer.
   * @param expectedMs time for which the request is expected to wait, in milliseconds
   */
  readonly queued: (expectedMs: number) => void
  /**
   * Final answer.
   * @param grant the grant
   */
  readonly granted: (grant: SlotGrant) => void
  /**
   * Final answer.
   * @param refusal why there is no grant
   */
  readonly refused: (refusal: SlotRefusal) => void
  /** Called instead of a final answer if the connection to the owner ended. */
  readonly lost: () => void
}
