import type { RouterEntry } from '../model/router-entry.js'

/** A router and the time since the last contact with it. */
export interface RouterContact extends RouterEntry {
  /** Milliseconds since any router last heard from it. */
  readonly heardAgoMs: number
}
