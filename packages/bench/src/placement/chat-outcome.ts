/** Outcome of one turn of a chat, as observed by its caller. */
export interface ChatOutcome {
  readonly status: number
  /** Whether the response was complete and had the content expected for this prompt. */
  readonly isCorrect: boolean
  /** Whether the response ended early and reported this to the caller with an error event. */
  readonly isIncomplete: boolean
  /** Whether the request was refused as not run. */
  readonly isNotRun: boolean
  /** Excerpt of an incorrect response; empty if the response was correct. */
  readonly detail: string
  readonly requestId: string
  readonly cachedTokens: number
  readonly promptTokens: number
  /** Time to first token, in milliseconds; NaN if the request was refused. */
  readonly firstTokenMs: number
}
