import type { RouterEntry } from '../model/router-entry.js'
import type { SlotLink } from './slot-link.js'

/** Links from this router to the others. */
export interface SlotLinks {
  /**
   * Returns the open link to a router; undefined if there is none.
   * @param router router at the other end
   */
  linkTo (router: RouterEntry): SlotLink | undefined
  /**
   * Returns whether the link to a router was lost or refused, and could not be opened again since.
   * @param router router at the other end
   */
  isDown (router: RouterEntry): boolean
  /**
   * Closes the link to a router that no longer answers. It counts as down until it is open again.
   * @param router router at the other end
   */
  reset (router: RouterEntry): void
}
