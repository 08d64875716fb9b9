/** What the callers know of one key. */
export interface KeyedOutcome {
  readonly key: string
  readonly path: string
  readonly body: Buffer
  /** When the first call was made, on the bench's monotonic clock in milliseconds. */
  readonly startedAt: number
  /** Calls made with the key, in order, by their ids. */
  readonly calls: string[]
  /** Calls that were told that they did not run. */
  readonly toldNotRun: string[]
  /** Whether a call was told that the operation is in doubt or in progress, or that its outcome is unknown. */
  toldUnknown: boolean
  /** When a call was answered as done; undefined until then. */
  doneAt: number | undefined
  /** Whether an answer was wrong or not whole. */
  wrongAnswer: boolean
  /** Numbers of the last refusals, for the report of a failed run. */
  lastCode: number
}
