/** Request to send with `BoundedHttpClient`. */
export interface BoundedHttpRequest {
  readonly method: string
  /** Path and query string. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** The complete body, or a stream that can be sent only once. */
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | undefined
  /** Timeout for the response head, in milliseconds. */
  readonly firstByteTimeoutMs: number
  /**
   * Timeout for an informational (1xx) response or the response head, in milliseconds, for servers that acknowledge
   * requests immediately. No such timeout if omitted.
   */
  readonly acknowledgeTimeoutMs?: number
  /** Maximum time between two chunks of the response body, in milliseconds. */
  readonly silenceTimeoutMs: number
  /**
   * Whether to open a dedicated connection for this request. This costs a handshake, but the server cannot close an
   * idle connection while the request is being sent, and a failure before the connection is established is certain
   * to be `not-run`.
   */
  readonly ownConnection?: boolean
}
