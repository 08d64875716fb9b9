/** Address and limits of the server for forwarded calls. */
export interface ForwardServerOptions {
  /** IP address and port; port 0 selects a free port. */
  readonly address: string
  /** Maximum size of a body that is buffered; larger ones are streamed. */
  readonly maximumBufferedBodyBytes: number
  /** Timeout of a write to a slow reader, in milliseconds. */
  readonly drainTimeoutMs: number
}
