/** Size limits and timeouts for callers' requests and connections. */
export interface CallerLimits {
  /** Maximum length of a request head, in bytes. */
  readonly headerBytes: number
  /** Maximum length of a request body, in bytes. */
  readonly bodyBytes: number
  /** Maximum time to receive a request head, in milliseconds. */
  readonly headerTimeoutMs: number
  /** Maximum idle time of a keep-alive connection, in milliseconds. */
  readonly idleTimeoutMs: number
}
