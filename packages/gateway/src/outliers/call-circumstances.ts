/** What a router knows of a call beside its result. */
export interface CallCircumstances {
  /** Whether the caller was too slow, so that reading the response was paused when the call ended. */
  readonly isPaused: boolean
  /** Whether the call was aborted since the time of the request was over. */
  readonly isDeadlineOver: boolean
  /** Time from the start of the call to its end, in milliseconds. */
  readonly elapsedMs: number
}
