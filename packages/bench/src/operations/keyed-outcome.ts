/** Results that callers have received for one idempotency key. */
export interface KeyedOutcome {
  readonly key: string
  readonly path: string
  readonly body: Buffer
  /** Time of the first call on the monotonic clock of the bench, in milliseconds. */
  readonly startedAt: number
  /** Ids of the calls made with the key, in order. */
  readonly callIds: string[]
  /** Ids of the calls that were refused as not run. */
  readonly notRunCallIds: string[]
  /** Time at which a response first confirmed that the operation ran, on the same clock; undefined until then. */
  doneAt: number | undefined
  /** Whether a response was incorrect or incomplete. */
  hasWrongResponse: boolean
  /** Result code of the last refusal, shown in the progress lines; 0 if there was none. */
  lastCode: number
}
