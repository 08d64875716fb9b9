/** How one turn of a chat ended, as its caller saw it. */
export interface ChatOutcome {
  readonly status: number
  /** Whether the answer was whole and the caller's own. */
  readonly correct: boolean
  /** Whether the answer ended before it was whole and the caller was told so by an error event. */
  readonly incomplete: boolean
  /** Whether it was refused as not run. */
  readonly refusedNotRun: boolean
  /** What came instead of the right answer; empty if it was right. */
  readonly detail: string
  readonly requestId: string
  readonly cachedTokens: number
  readonly promptTokens: number
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs: number
}
