import { create } from '@bufbuild/protobuf'
import type { LogEntry, OperationRecord, StoredAnswer } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { OperationAttempt } from './operation-attempt.js'
import type { OperationLedgerOptions } from './operation-ledger-options.js'

/** Timeout of one append of an outcome; the appender itself retries the record within it. */
const APPEND_TIMEOUT_MS = 5_000
/** Delay between appends of an outcome while the log is unavailable. */
const RETRY_DELAY_MS = 200
/** Upper bound on the outcomes that are retained, also after they were recorded, for intents that are applied late. */
const MAXIMUM_RETAINED_OUTCOMES = 10_000

/**
 * Records outcomes of attempts, with retries until the log confirms them. An outcome is retained afterwards: an
 * intent that took effect late through another writer may win after its outcome was applied and ignored, in which
 * case the outcome is recorded again.
 */
export class OutcomeRecorder {
  private readonly _options: OperationLedgerOptions
  private readonly _retained = new Map<string, LogEntry>()
  private readonly _pending = new Set<string>()
  private readonly _stopped = new AbortController()
  private _flushed = new AbortController()

  /**
   * @param options options of the ledger
   */
  constructor (options: OperationLedgerOptions) {
    this._options = options
    options.fold.onChange((operation) => this._onChange(operation))
  }

  /** Number of outcomes that have not been recorded in the log. */
  get pendingCount (): number {
    return this._pending.size
  }

  /**
   * Starts recording an outcome in the background. A second outcome of the same attempt is ignored.
   * @param attempt attempt that ended
   * @param state ANSWERED, NOT_RUN or IN_DOUBT
   * @param answer response of the endpoint, for ANSWERED
   */
  record (attempt: OperationAttempt, state: OperationState, answer: StoredAnswer | undefined): void {
    if (this._retained.has(attempt.attemptId)) return
    const entry = create(LogEntrySchema, {
      kind: {
        case: 'operationOutcome',
        value: { key: attempt.key, workspace: attempt.workspace, attemptId: attempt.attemptId, state, answer }
      }
    })
    this._retain(attempt.attemptId, entry)
    this._startRecording(attempt.attemptId, entry)
  }

  /**
   * Waits until no outcome is pending.
   * @param timeoutMs upper bound on the wait, in milliseconds
   * @returns whether all outcomes were recorded in time
   */
  async flush (timeoutMs: number): Promise<boolean> {
    const deadline = this._options.clock.now() + timeoutMs
    while (this._pending.size > 0 && this._options.clock.now() < deadline && !this._stopped.signal.aborted) {
      this._flushed = new AbortController()
      await this._options.clock.sleep(deadline - this._options.clock.now(), AbortSignal.any([this._flushed.signal, this._stopped.signal]))
    }
    return this._pending.size === 0
  }

  /** Stops all retries; pending calls of `flush` return at once. */
  stop (): void {
    this._stopped.abort()
  }

  private _startRecording (attemptId: string, entry: LogEntry): void {
    if (this._pending.has(attemptId)) return
    this._pending.add(attemptId)
    this._appendUntilRecorded(attemptId, entry).catch((error: unknown) => {
      this._options.eventLog.warn('outcome-not-recorded', { attempt_id: attemptId, error: String(error) })
    })
  }

  private async _appendUntilRecorded (attemptId: string, entry: LogEntry): Promise<void> {
    const { appender, clock, eventLog } = this._options
    while (!this._stopped.signal.aborted) {
      try {
        await appender.append(entry, APPEND_TIMEOUT_MS)
        break
      } catch (error) {
        if (!(error instanceof MimosarockError)) throw error
        eventLog.warn('outcome-retried', { attempt_id: attemptId, code: error.code })
        await clock.sleep(RETRY_DELAY_MS, this._stopped.signal)
      }
    }
    this._pending.delete(attemptId)
    if (this._pending.size === 0) this._flushed.abort()
  }

  private _retain (attemptId: string, entry: LogEntry): void {
    this._retained.set(attemptId, entry)
    if (this._retained.size <= MAXIMUM_RETAINED_OUTCOMES) return
    const oldest = this._retained.keys().next()
    if (!oldest.done) this._retained.delete(oldest.value)
  }

  /** Records the outcome again if an attempt of this router is in progress although its outcome is known. */
  private _onChange (operation: OperationRecord): void {
    if (operation.state !== OperationState.IN_PROGRESS) return
    const entry = this._retained.get(operation.attemptId)
    if (entry !== undefined) this._startRecording(operation.attemptId, entry)
  }
}
