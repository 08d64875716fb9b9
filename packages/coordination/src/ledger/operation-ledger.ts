import { create } from '@bufbuild/protobuf'
import type { Actor, LogEntry, OperationRecord, StoredAnswer } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { BeginOutcome } from './begin-outcome.js'
import type { BeginResult } from './begin-result.js'
import { OpenOperationAges } from './open-operation-ages.js'
import type { OperationAttempt } from './operation-attempt.js'
import type { OperationLedgerOptions } from './operation-ledger-options.js'
import { OutcomeRecorder } from './outcome-recorder.js'

/** When a caller should come back after a refusal for the log's sake. */
const RETRY_AFTER_MS = 1_000

/**
 * Decides which attempt may run an operation, through one stream of the log service.
 *
 * @example
 * const result = await ledger.begin(attempt)
 * if (result.outcome === BeginOutcome.WON) {
 *   // dispatch, within the dispatch window
 *   ledger.recordOutcome(attempt, OperationState.ANSWERED, answer)
 * }
 */
export class OperationLedger {
  private readonly _options: OperationLedgerOptions
  private readonly _recorder: OutcomeRecorder
  private readonly _ages: OpenOperationAges
  /** Whether the last intent was not confirmed in time; one attempt at a time then tries the log. */
  private _logFailing = false
  private _probing = false

  /**
   * @param options what the ledger works with
   */
  constructor (options: OperationLedgerOptions) {
    this._options = options
    this._recorder = new OutcomeRecorder(options)
    this._ages = new OpenOperationAges(options.fold, options.clock)
  }

  /** Outcomes that wait to be recorded. */
  get unrecordedCount (): number {
    return this._recorder.pendingCount
  }

  /** Horizon of the ledger: keys older than this can't win, in milliseconds since the epoch. */
  get horizonMs (): number {
    return this._options.fold.horizonMs
  }

  /**
   * Tries to win the key. Nothing is appended if the ledger already knows how the operation stands.
   * @param attempt the attempt
   * @returns how the key stands after the attempt was read back
   * @throws {MimosarockError} LEDGER_UNAVAILABLE; run state `unknown` if the attempt's intent may yet be
   * folded, so that `abandon` or `recordOutcome` must follow, else `not-run`
   */
  async begin (attempt: OperationAttempt): Promise<BeginResult> {
    const known = this.get(attempt.workspace, attempt.key)
    if (known !== undefined && known.state !== OperationState.NOT_RUN) return describe(known, attempt)
    this._checkAvailable()
    const wasFailing = this._logFailing
    this._probing = wasFailing
    try {
      await this._options.appender.append(this._intentOf(attempt), this._options.intentTimeoutMs)
      this._logFailing = false
    } catch (error) {
      this._logFailing = true
      const run = error instanceof MimosarockError ? error.run : RunState.UNKNOWN
      throw new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'the log service did not confirm the operation in time', {
        run, retryAfterMs: RETRY_AFTER_MS, cause: error
      })
    } finally {
      if (wasFailing) this._probing = false
    }
    const operation = this.get(attempt.workspace, attempt.key)
    if (operation === undefined) return { outcome: BeginOutcome.KEY_TOO_OLD, operation }
    return describe(operation, attempt)
  }

  /**
   * Waits until an operation is no longer in progress.
   * @param workspace workspace that the key belongs to
   * @param key the Idempotency-Key
   * @param timeoutMs longest wait, in milliseconds
   * @param signal ends the wait
   * @returns the operation as it stands then
   */
  async waitForOutcome (workspace: string, key: string, timeoutMs: number, signal: AbortSignal): Promise<OperationRecord | undefined> {
    const ended = new AbortController()
    const stopListening = this._options.replica.onApplied(() => {
      if (this.get(workspace, key)?.state !== OperationState.IN_PROGRESS) ended.abort()
    })
    await this._options.clock.sleep(timeoutMs, AbortSignal.any([ended.signal, signal]))
    stopListening()
    return this.get(workspace, key)
  }

  /**
   * Records that an attempt did not and will not run. Also to be called for an attempt whose intent was not
   * confirmed: if it should win after all, the outcome is recorded then.
   * @param attempt the attempt
   */
  abandon (attempt: OperationAttempt): void {
    this.recordOutcome(attempt, OperationState.NOT_RUN)
  }

  /**
   * Records an attempt's outcome; tried again until the log has it.
   * @param attempt the attempt
   * @param state ANSWERED, NOT_RUN or IN_DOUBT
   * @param answer the endpoint's answer, for ANSWERED
   */
  recordOutcome (attempt: OperationAttempt, state: OperationState, answer?: StoredAnswer): void {
    this._recorder.record(attempt, state, answer)
  }

  /**
   * Waits until the log has all outcomes.
   * @param timeoutMs longest wait, in milliseconds
   * @returns whether none is left
   */
  flush (timeoutMs: number): Promise<boolean> {
    return this._recorder.flush(timeoutMs)
  }

  /** Ends the recording of outcomes. */
  stop (): void {
    this._recorder.stop()
  }

  /**
   * Finds an operation.
   * @param workspace workspace that the key belongs to
   * @param key the Idempotency-Key
   */
  get (workspace: string, key: string): OperationRecord | undefined {
    return this._options.fold.get(workspace, key)
  }

  /**
   * Lists operations, longest unchanged first.
   * @param workspace only this workspace's; empty means all
   * @param state only those in this state; UNSPECIFIED means in progress or in doubt
   * @param limit most operations to return
   */
  list (workspace: string, state: OperationState, limit: number): OperationRecord[] {
    const found: OperationRecord[] = []
    for (const operation of this._options.fold.list()) {
      if (found.length >= limit) break
      if (workspace !== '' && operation.workspace !== workspace) continue
      if (matches(operation.state, state)) found.push(operation)
    }
    return found
  }

  /**
   * Time since this process first read an open operation's present attempt, in milliseconds; 0 if it has not.
   * @param operation an operation in progress or in doubt
   */
  openForMs (operation: OperationRecord): number {
    return this._ages.ageMs(operation)
  }

  /**
   * Time until an open operation may be settled as not run, in milliseconds; not above 0 if it may be now.
   * @param operation an operation in progress or in doubt
   * @param runBoundMs longest time that the winner may take over the call, in milliseconds
   */
  notRunAfterMs (operation: OperationRecord, runBoundMs: number): number {
    return this._options.longestPauseMs + runBoundMs - this.openForMs(operation)
  }

  /**
   * Settles an operation that is in progress or in doubt and waits until that is read back.
   *
   * NOT_RUN re-opens the key, so it is refused while the winning router may be paused before its write: until
   * the longest pause has passed on this router's monotonic clock since it first read the attempt.
   * @param operation the operation as the caller saw it; a later attempt is left alone
   * @param state ANSWERED or NOT_RUN
   * @param actor who settles it
   * @param reason why, for the audit trail
   * @param runBoundMs longest time that the winner may take over the call, in milliseconds; adds to the longest pause
   * @returns offset of the settlement
   * @throws {MimosarockError} SETTLEMENT_REFUSED, OPERATION_UNKNOWN or LOG_UNAVAILABLE
   */
  async settle (operation: OperationRecord, state: OperationState, actor: Actor, reason: string, runBoundMs = 0): Promise<number> {
    this._checkSettlement(operation, state, runBoundMs)
    const entry = create(LogEntrySchema, {
      kind: {
        case: 'operationSettlement',
        value: { key: operation.key, workspace: operation.workspace, state, actor, reason, attemptId: operation.attemptId }
      }
    })
    const offset = await this._options.appender.append(entry, this._options.intentTimeoutMs)
    const now = this.get(operation.workspace, operation.key)
    if (now?.state === state && now.attemptId === operation.attemptId) return offset
    throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'the operation changed before the settlement was folded', { field: 'state' })
  }

  private _checkSettlement (operation: OperationRecord, state: OperationState, runBoundMs: number): void {
    const known = this.get(operation.workspace, operation.key)
    if (known === undefined) throw new MimosarockError(ResultCode.OPERATION_UNKNOWN, `no operation has the key ${operation.key}`, { field: 'key' })
    if (known.attemptId !== operation.attemptId || !isOpen(known.state)) {
      throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'the operation is neither in progress nor in doubt', { field: 'state' })
    }
    if (state === OperationState.ANSWERED) return
    if (state !== OperationState.NOT_RUN) {
      throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'an operation is settled as answered or as not run', { field: 'state' })
    }
    const restMs = this.notRunAfterMs(known, runBoundMs)
    if (restMs <= 0) return
    throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'a paused router might still run the operation', { field: 'state', retryAfterMs: Math.ceil(restMs) })
  }

  private _checkAvailable (): void {
    const reason = this._unavailableReason()
    if (reason === undefined) return
    throw new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, reason, { run: RunState.NOT_RUN, retryAfterMs: RETRY_AFTER_MS })
  }

  private _unavailableReason (): string | undefined {
    const { replica, fold, staleAfterMs, maximumOperations } = this._options
    if (!replica.started) return 'the operations have not been read yet'
    if (replica.stalenessMs > staleAfterMs) return 'the log service can not be read'
    if (this._logFailing && this._probing) return 'the log service does not confirm operations'
    if (fold.size >= maximumOperations) return 'too many operations are kept'
    return undefined
  }

  private _intentOf (attempt: OperationAttempt): LogEntry {
    const { clock, keyWindowMs, routerId } = this._options
    return create(LogEntrySchema, {
      kind: {
        case: 'operationIntent',
        value: {
          key: attempt.key,
          workspace: attempt.workspace,
          route: attempt.route,
          requestDigest: attempt.requestDigest,
          attemptId: attempt.attemptId,
          routerId,
          keyTimeMs: BigInt(Math.floor(attempt.keyTimeMs)),
          horizonMs: BigInt(Math.max(0, Math.floor(clock.wallNow() - keyWindowMs)))
        }
      }
    })
  }
}

// Tells how a key stands for one attempt.
function describe (operation: OperationRecord, attempt: OperationAttempt): BeginResult {
  if (Buffer.compare(operation.requestDigest, attempt.requestDigest) !== 0) {
    return { outcome: BeginOutcome.KEY_REUSED, operation }
  }
  switch (operation.state) {
    case OperationState.ANSWERED: {
      const kept = operation.answer !== undefined && !operation.answer.bodyDropped
      return { outcome: kept ? BeginOutcome.ANSWERED : BeginOutcome.ANSWER_NOT_KEPT, operation }
    }
    case OperationState.IN_DOUBT:
      return { outcome: BeginOutcome.IN_DOUBT, operation }
    case OperationState.NOT_RUN:
      return { outcome: BeginOutcome.NOT_RUN, operation }
    default:
      return { outcome: operation.attemptId === attempt.attemptId ? BeginOutcome.WON : BeginOutcome.IN_PROGRESS, operation }
  }
}

function isOpen (state: OperationState): boolean {
  return state === OperationState.IN_PROGRESS || state === OperationState.IN_DOUBT
}

function matches (state: OperationState, wanted: OperationState): boolean {
  return wanted === OperationState.UNSPECIFIED ? isOpen(state) : state === wanted
}
