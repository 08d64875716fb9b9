import type { SuspectPart } from './suspect-part.js'

/** What one router tells another about the crash of an endpoint. */
export interface CrashNote {
  /** Id of the endpoint. */
  readonly endpointId: string
  /** Start of the incarnation that crashed, in Unix milliseconds; 0 if unknown. */
  readonly startedAt: number
  /** Parts of the requests that the endpoint had not begun to answer. */
  readonly parts: readonly SuspectPart[]
  /** Milliseconds since the crash. */
  readonly ageMs: number
}
