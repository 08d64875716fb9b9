/** One attempt to run an operation. */
export interface OperationAttempt {
  /** Unique for each attempt. */
  readonly attemptId: string
  /** The Idempotency-Key. */
  readonly key: string
  /** Time that the key carries, in milliseconds since the epoch. */
  readonly keyTimeMs: number
  readonly workspace: string
  readonly route: string
  /** Digest of method, path and body. */
  readonly requestDigest: Uint8Array
}
