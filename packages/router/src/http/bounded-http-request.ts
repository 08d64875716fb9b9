/** One call through a bounded client. */
export interface BoundedHttpRequest {
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Whole body, or a stream that can be sent once. */
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | undefined
  /** Bound on the wait for the head of the answer, in milliseconds. */
  readonly firstByteTimeoutMs: number
  /**
   * Bound on the wait for an informational answer or the head, in milliseconds; for servers that acknowledge a
   * call at once. None if left out.
   */
  readonly acknowledgeTimeoutMs?: number
  /** Bound on silence within the answer, in milliseconds. */
  readonly silenceTimeoutMs: number
  /**
   * Opens a connection for this call alone. Costs a handshake; in return no idle connection can be closed
   * under the call, and a failure before the connection stood is known as not run.
   */
  readonly ownConnection?: boolean
}
