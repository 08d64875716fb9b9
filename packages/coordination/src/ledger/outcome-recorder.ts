import { create } from '@bufbuild/protobuf'
import type { LogEntry, OperationRecord, StoredAnswer } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { OperationAttempt } from './operation-attempt.js'
import type { OperationLedgerOptions } from './operation-ledger-options.js'

/** Wait for one try; the appender itself sends the record again within it. */
const TRY_TIMEOUT_MS = 5_000
/** Pause between tries while the log is down. */
const RETRY_PAUSE_MS = 200
/** Outcomes remembered after they were recorded, for intents that are folded late. */
const MAXIMUM_REMEMBERED = 10_000

/**
 * Records outcomes until the log has them. An outcome is remembered afterwards: an intent that took effect
 * late, through another writer, may win after its outcome was folded and ignored; it is then recorded again.
 */
export class OutcomeRecorder {
  private readonly _options: OperationLedgerOptions
  private readonly _remembered = new Map<string, LogEntry>()
  private readonly _pending = new Set<string>()
  private readonly _ended = new AbortController()
  private _flushed = new AbortController()

  /**
   * @param options the ledger's
   */
  constructor (options: OperationLedgerOptions) {
    this._options = options
    options.fold.onChange((operation) => this._notice(operation))
  }

  /** Outcomes that the log does not have yet. */
  get pendingCount (): number {
    return this._pending.size
  }

  /**
   * Starts to record an outcome. A second one for the same attempt is ignored.
   * @param attempt the attempt
   * @param state ANSWERED, NOT_RUN or IN_DOUBT
   * @param answer the endpoint's answer
   */
  record (attempt: OperationAttempt, state: OperationState, answer: StoredAnswer | undefined): void {
    if (this._remembered.has(attempt.attemptId)) return
    const entry = create(LogEntrySchema, {
      kind: {
        case: 'operationOutcome',
        value: { key: attempt.key, workspace: attempt.workspace, attemptId: attempt.attemptId, state, answer }
      }
    })
    this._remember(attempt.attemptId, entry)
    this._start(attempt.attemptId, entry)
  }

  /**
   * Waits until nothing is pending.
   * @param timeoutMs longest wait, in milliseconds
   */
  async flush (timeoutMs: number): Promise<boolean> {
    const deadline = this._options.clock.now() + timeoutMs
    while (this._pending.size > 0 && this._options.clock.now() < deadline && !this._ended.signal.aborted) {
      this._flushed = new AbortController()
      await this._options.clock.sleep(deadline - this._options.clock.now(), AbortSignal.any([this._flushed.signal, this._ended.signal]))
    }
    return this._pending.size === 0
  }

  /** Ends all tries. */
  stop (): void {
    this._ended.abort()
  }

  private _start (attemptId: string, entry: LogEntry): void {
    if (this._pending.has(attemptId)) return
    this._pending.add(attemptId)
    this._appendUntilRecorded(attemptId, entry).catch((error: unknown) => {
      this._options.eventLog.warn('outcome-not-recorded', { attempt_id: attemptId, error: String(error) })
    })
  }

  private async _appendUntilRecorded (attemptId: string, entry: LogEntry): Promise<void> {
    const { appender, clock, eventLog } = this._options
    while (!this._ended.signal.aborted) {
      try {
        await appender.append(entry, TRY_TIMEOUT_MS)
        break
      } catch (error) {
        if (!(error instanceof MimosarockError)) throw error
        eventLog.warn('outcome-retried', { attempt_id: attemptId, code: error.code })
        await clock.sleep(RETRY_PAUSE_MS, this._ended.signal)
      }
    }
    this._pending.delete(attemptId)
    if (this._pending.size === 0) this._flushed.abort()
  }

  private _remember (attemptId: string, entry: LogEntry): void {
    this._remembered.set(attemptId, entry)
    if (this._remembered.size <= MAXIMUM_REMEMBERED) return
    const oldest = this._remembered.keys().next()
    if (!oldest.done) this._remembered.delete(oldest.value)
  }

  /** An attempt of this router that is open although its outcome is known gets that outcome again. */
  private _notice (operation: OperationRecord): void {
    if (operation.state !== OperationState.IN_PROGRESS) return
    const entry = this._remembered.get(operation.attemptId)
    if (entry !== undefined) this._start(operation.attemptId, entry)
  }
}
