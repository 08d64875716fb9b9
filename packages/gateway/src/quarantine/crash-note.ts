import type { SuspectPart } from './suspect-part.js'

/** What one router tells another about the crash of an endpoint. */
export interface CrashNote {
  /** Identifies the crash on all routers: the endpoint and the start of its incarnation. */
  readonly crashId: string
  /** Parts of the requests that the endpoint had not begun to answer. */
  readonly parts: readonly SuspectPart[]
  /** Milliseconds since the crash. */
  readonly ageMs: number
}
