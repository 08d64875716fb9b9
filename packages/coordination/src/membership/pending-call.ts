/** A call in flight that waits for its response. */
export interface PendingCall {
  readonly id: number
  /** JSON-RPC 2.0 request, terminated by a newline. */
  readonly line: string
  /** Resolves with the result, or rejects with the error returned by the peer. */
  readonly response: Promise<{ readonly result: unknown }>
}
