/** A call that waits for its answer. */
export interface PendingCall {
  readonly id: number
  /** The line that makes the call. */
  readonly line: string
  /** Fails with the error that the peer answered. */
  readonly answer: Promise<{ readonly result: unknown }>
}
