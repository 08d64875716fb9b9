/** Time limits of a call. */
export interface TimeLimits {
  /** Time without any part of the response after which the call fails, in milliseconds. */
  readonly progressMs: number
  /** Maximum duration of the whole call, in milliseconds. */
  readonly totalMs: number
}
