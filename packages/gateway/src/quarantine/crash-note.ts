import type { Suspect } from './suspect.js'

/** What one router tells another about the crash of an endpoint. */
export interface CrashNote {
  /** Identifies the crash on all routers: the endpoint and the start of its incarnation. */
  readonly crashId: string
  /** Whole requests that the endpoint was processing, and the prompt parts of those that it had not begun to answer. */
  readonly parts: readonly Suspect[]
  /** Milliseconds since the crash. */
  readonly ageMs: number
}
