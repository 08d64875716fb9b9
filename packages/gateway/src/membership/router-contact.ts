import type { RouterEntry } from '../model/router-entry.js'

/** What is known of another router. */
export interface RouterContact extends RouterEntry {
  /** Milliseconds since somebody heard of it last. */
  readonly heardAgoMs: number
}
