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

/** Retry delay suggested to callers that are rejected because the log is unavailable. */
const RETRY_AFTER_MS = 1_000

/**
 * Decides which attempt may run an operation, through one stream of the log service.
 *
 * @example
 * const result = await ledger.begin(attempt)
 * if (result.outcome === BeginOutcome.WON) {
 *   // Dispatch before the dispatch window has passed.
 *   ledger.recordOutcome(attempt, OperationState.ANSWERED, answer)
 * }
 */
export class OperationLedger {
  private readonly _options: OperationLedgerOptions
  private readonly _recorder: OutcomeRecorder
  private readonly _ages: OpenOperationAges
  /** Whether the last intent was not confirmed in time. While it is set, one attempt at a time probes the log. */
  private _isLogFailing = false
  private _isProbing = false

  /**
   * @param options replica, fold, appender, timing and limits
   */
  constructor (options: OperationLedgerOptions) {
    this._options = options
    this._recorder = new OutcomeRecorder(options)
    this._ages = new OpenOperationAges(options.fold, options.clock)
  }

  /** Number of outcomes that have not been recorded in the log. */
  get unrecordedCount (): number {
    return this._recorder.pendingCount
  }

  /** Horizon of the ledger in milliseconds since the epoch; an older key cannot be won. */
  get horizonMs (): number {
    return this._options.fold.horizonMs
  }

  /**
   * Attempts to win the key of an operation. Nothing is appended if the key is already won and not reopened.
   * @param attempt attempt to run the operation
   * @returns state of the key after the intent was read back
   * @throws {MimosarockError} LEDGER_UNAVAILABLE; run state `unknown` if the intent may still take effect, in
   * which case the caller has to call `abandon` or `recordOutcome`, otherwise `not-run`
   */
  async begin (attempt: OperationAttempt): Promise<BeginResult> {
    const known = this.get(attempt.workspace, attempt.key)
    if (known !== undefined && known.state !== OperationState.NOT_RUN) return toBeginResult(known, attempt)
    this._checkAvailable()
    const wasFailing = this._isLogFailing
    this._isProbing = wasFailing
    try {
      await this._options.appender.append(this._intentOf(attempt), this._options.intentTimeoutMs)
      this._isLogFailing = false
    } catch (error) {
      this._isLogFailing = true
      const run = error instanceof MimosarockError ? error.run : RunState.UNKNOWN
      throw new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'the log service did not confirm the operation in time', {
        run, retryAfterMs: RETRY_AFTER_MS, cause: error
      })
    } finally {
      if (wasFailing) this._isProbing = false
    }
    const operation = this.get(attempt.workspace, attempt.key)
    if (operation === undefined) return { outcome: BeginOutcome.KEY_TOO_OLD, operation }
    return toBeginResult(operation, attempt)
  }

  /**
   * Waits until an operation is no longer in progress.
   * @param workspace name of the workspace that the key belongs to
   * @param key value of the Idempotency-Key header
   * @param timeoutMs upper bound on the wait, in milliseconds
   * @param signal cancels the wait
   * @returns state of the operation at the end of the wait
   */
  async waitForOutcome (workspace: string, key: string, timeoutMs: number, signal: AbortSignal): Promise<OperationRecord | undefined> {
    const isInProgress = (): boolean => this.get(workspace, key)?.state === OperationState.IN_PROGRESS
    if (!isInProgress()) return this.get(workspace, key)
    const ended = new AbortController()
    const unsubscribe = this._options.replica.onApplied(() => {
      if (!isInProgress()) ended.abort()
    })
    await this._options.clock.sleep(timeoutMs, AbortSignal.any([ended.signal, signal]))
    unsubscribe()
    return this.get(workspace, key)
  }

  /**
   * Records that an attempt did not and will not run. Call it also for an attempt whose intent was not confirmed:
   * if the intent wins later, the outcome is recorded again.
   * @param attempt attempt to abandon
   */
  abandon (attempt: OperationAttempt): void {
    this.recordOutcome(attempt, OperationState.NOT_RUN)
  }

  /**
   * Records the outcome of an attempt in the background; retries until the log confirms it.
   * @param attempt attempt that ended
   * @param state ANSWERED, NOT_RUN or IN_DOUBT
   * @param answer response of the endpoint, for ANSWERED
   */
  recordOutcome (attempt: OperationAttempt, state: OperationState, answer?: StoredAnswer): void {
    this._recorder.record(attempt, state, answer)
  }

  /**
   * Waits until all outcomes are recorded in the log.
   * @param timeoutMs upper bound on the wait, in milliseconds
   * @returns whether all outcomes were recorded in time
   */
  flush (timeoutMs: number): Promise<boolean> {
    return this._recorder.flush(timeoutMs)
  }

  /** Stops recording outcomes; pending ones are no longer retried. */
  stop (): void {
    this._recorder.stop()
  }

  /**
   * Returns the operation of a key, or undefined if there is none.
   * @param workspace name of the workspace that the key belongs to
   * @param key value of the Idempotency-Key header
   */
  get (workspace: string, key: string): OperationRecord | undefined {
    return this._options.fold.get(workspace, key)
  }

  /**
   * Lists operations, least recently changed first.
   * @param workspace name of the workspace to filter by; empty for all workspaces
   * @param state state to filter by; UNSPECIFIED for in progress or in doubt
   * @param limit maximum number of operations to return
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
   * Returns the time since this process first read the current attempt of an open operation, in milliseconds; 0 on the
   * first query for an attempt that was loaded from a checkpoint.
   * @param operation operation in progress or in doubt
   */
  openForMs (operation: OperationRecord): number {
    return this._ages.ageMs(operation)
  }

  /**
   * Returns the time until an open operation may be settled as not run, in milliseconds; 0 or less if it may be settled now.
   * @param operation operation in progress or in doubt
   * @param maximumRunTimeMs upper bound on the time that the winner may take to run the operation, in milliseconds
   */
  notRunSettlementDelayMs (operation: OperationRecord, maximumRunTimeMs: number): number {
    return this._options.longestPauseMs + maximumRunTimeMs - this.openForMs(operation)
  }

  /**
   * Settles an operation that is in progress or in doubt and waits until the settlement is read back.
   *
   * NOT_RUN reopens the key. It is rejected while the winning router may be paused before it sends the request, that
   * is, until the maximum pause and the maximum run time have passed on the monotonic clock of this router since it
   * first read the attempt.
   * @param operation operation as read by the caller; the settlement does not apply to a later attempt
   * @param state ANSWERED or NOT_RUN
   * @param actor operator or component that settles the operation
   * @param reason reason for the audit trail
   * @param maximumRunTimeMs upper bound on the time that the winner may take to run the operation, in milliseconds
   * @returns offset of the settlement
   * @throws {MimosarockError} SETTLEMENT_REFUSED, OPERATION_UNKNOWN or LOG_UNAVAILABLE
   */
  async settle (operation: OperationRecord, state: OperationState, actor: Actor, reason: string, maximumRunTimeMs = 0): Promise<number> {
    this._checkSettlement(operation, state, maximumRunTimeMs)
    const entry = create(LogEntrySchema, {
      kind: {
        case: 'operationSettlement',
        value: { key: operation.key, workspace: operation.workspace, state, actor, reason, attemptId: operation.attemptId }
      }
    })
    const offset = await this._options.appender.append(entry, this._options.intentTimeoutMs)
    const current = this.get(operation.workspace, operation.key)
    if (current?.state === state && current.attemptId === operation.attemptId) return offset
    throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'the operation changed before the settlement was applied', { field: 'state' })
  }

  private _checkSettlement (operation: OperationRecord, state: OperationState, maximumRunTimeMs: number): void {
    const known = this.get(operation.workspace, operation.key)
    if (known === undefined) throw new MimosarockError(ResultCode.OPERATION_UNKNOWN, `no operation has the key ${operation.key}`, { field: 'key' })
    if (known.attemptId !== operation.attemptId || !isOpen(known.state)) {
      throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'the operation is neither in progress nor in doubt', { field: 'state' })
    }
    if (state === OperationState.ANSWERED) return
    if (state !== OperationState.NOT_RUN) {
      throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'an operation can be settled only as answered or as not run', { field: 'state' })
    }
    const remainingMs = this.notRunSettlementDelayMs(known, maximumRunTimeMs)
    if (remainingMs <= 0) return
    throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'a paused router might still run the operation', { field: 'state', retryAfterMs: Math.ceil(remainingMs) })
  }

  private _checkAvailable (): void {
    const reason = this._unavailableReason()
    if (reason === undefined) return
    throw new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, reason, { run: RunState.NOT_RUN, retryAfterMs: RETRY_AFTER_MS })
  }

  private _unavailableReason (): string | undefined {
    const { replica, fold, staleAfterMs, maximumOperations } = this._options
    if (!replica.started) return 'the operations have not been loaded from the log yet'
    if (replica.stalenessMs > staleAfterMs) return 'the log service cannot be read'
    if (this._isLogFailing && this._isProbing) return 'the log service does not confirm operations'
    if (fold.size >= maximumOperations) return 'the ledger has reached its maximum number of operations'
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

// Maps the state of an operation to the result of one attempt to start it.
function toBeginResult (operation: OperationRecord, attempt: OperationAttempt): BeginResult {
  if (Buffer.compare(operation.requestDigest, attempt.requestDigest) !== 0) {
    return { outcome: BeginOutcome.KEY_REUSED, operation }
  }
  switch (operation.state) {
    case OperationState.ANSWERED: {
      const hasBody = operation.answer !== undefined && !operation.answer.bodyDropped
      return { outcome: hasBody ? BeginOutcome.ANSWERED : BeginOutcome.ANSWER_NOT_KEPT, operation }
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

function matches (state: OperationState, filter: OperationState): boolean {
  return filter === OperationState.UNSPECIFIED ? isOpen(state) : state === filter
}
