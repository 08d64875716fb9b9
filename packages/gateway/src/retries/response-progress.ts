/** What the caller of a request has received of its response. */
export interface ResponseProgress {
  /** Whether the caller has received part of it. */
  readonly isStarted: boolean
  /** Whether another endpoint can continue it where it broke off; true before it has started. */
  readonly canContinue: boolean
}
