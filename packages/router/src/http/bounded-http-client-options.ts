/** Options of `BoundedHttpClient`; they apply to every request of the client. */
export interface BoundedHttpClientOptions {
  /** IP address and port of the server. */
  readonly address: string
  /** Timeout for opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** Maximum number of open connections; further requests wait until one is free. */
  readonly maximumConnections: number
}
