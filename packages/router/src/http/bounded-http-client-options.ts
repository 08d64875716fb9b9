/** Bounds that hold for every call of a client. */
export interface BoundedHttpClientOptions {
  /** IP number and port. */
  readonly address: string
  /** Bound on opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** Most connections open at once; further calls wait for one. */
  readonly maximumConnections: number
}
