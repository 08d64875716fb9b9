import type { StatedLoad } from '../model/stated-load.js'
import type { SlotOutcome } from './slot-outcome.js'

/** Return of a grant to its owner. */
export interface SlotRelease {
  /** Number of the grant. */
  readonly grant: number
  /** How its use ended. */
  readonly outcome: SlotOutcome
  /** Time from the receipt of the grant to its release, in milliseconds. */
  readonly elapsedMs: number
  /** Load that the endpoint stated in the response; undefined if it stated none recently. */
  readonly load?: StatedLoad | undefined
}
