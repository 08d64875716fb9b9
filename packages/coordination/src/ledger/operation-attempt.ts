/** An attempt to run an operation. */
export interface OperationAttempt {
  /** Unique id of the attempt. */
  readonly attemptId: string
  /** Value of the Idempotency-Key header. */
  readonly key: string
  /** Creation time of the key, in milliseconds since the epoch. */
  readonly keyTimeMs: number
  readonly workspace: string
  readonly route: string
  /** Digest of the method, path and body of the request; detects reuse of a key. */
  readonly requestDigest: Uint8Array
}
