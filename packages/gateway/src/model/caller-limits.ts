/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  /** Longest request head, in bytes. */
  readonly headerBytes: number
  /** Longest request body, in bytes. */
  readonly bodyBytes: number
  /** Longest time to send a request head, in milliseconds. */
  readonly headerTimeoutMs: number
  /** Longest idle time of a kept connection, in milliseconds. */
  readonly idleTimeoutMs: number
}
