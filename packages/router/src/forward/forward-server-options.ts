/** Address and bounds of the server that takes forwards. */
export interface ForwardServerOptions {
  /** IP number and port; port 0 lets the system pick. */
  readonly address: string
  /** Largest body that is held whole; larger ones are streamed on. */
  readonly maximumKeptBodyBytes: number
  /** Bound on the wait for a slow reader, in milliseconds. */
  readonly drainTimeoutMs: number
}
