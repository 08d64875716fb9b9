import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { LogEntry, OperationIntent, OperationOutcome, OperationRecord, OperationSettlement, StoredAnswer } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, LedgerStateSchema, OperationRecordSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { LogFold } from '../log-fold.js'
import type { RecordPosition } from '../record-position.js'
import { LedgerHorizon } from './ledger-horizon.js'

/** Growth of the horizon after which old operations are dropped; a sweep visits all operations. */
const SWEEP_STEP_MS = 60_000
/** Bytes of answers kept over all operations; beyond it the oldest answers are cut to their digests. */
const MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024

/**
 * Operations that may run at most once, as decided by the order of their records.
 *
 * - The first intent for a key of a workspace wins it. Another can win only after the winner's outcome, or a
 *   settlement, was NOT_RUN. One attempt never wins the same key twice in a row.
 * - Only the winning attempt's outcome counts. ANSWERED and IN_DOUBT close the key.
 * - A settlement counts while the attempt that it names is in progress or in doubt.
 * - An intent whose key is older than the horizon never wins, and only operations older than the horizon are
 *   dropped. The horizon never shrinks, so a dropped key can't be won again, whatever the clocks say.
 */
export class LedgerFold implements LogFold {
  private readonly _operations = new Map<string, OperationRecord>()
  /** Sizes of the kept answers in the order of the operations. */
  private readonly _answerBytes = new Map<string, number>()
  private readonly _horizon = new LedgerHorizon()
  private readonly _listeners = new Set<(operation: OperationRecord) => void>()
  private _totalAnswerBytes = 0
  private _sweptMs = 0

  /** Operations known. */
  get size (): number {
    return this._operations.size
  }

  /** Keys older than this can't win, in milliseconds since the epoch. */
  get horizonMs (): number {
    return this._horizon.valueMs
  }

  /**
   * Finds an operation.
   * @param workspace workspace that the key belongs to
   * @param key the Idempotency-Key
   */
  get (workspace: string, key: string): OperationRecord | undefined {
    return this._operations.get(identify(workspace, key))
  }

  /** All operations in the order of their last changes. */
  list (): IterableIterator<OperationRecord> {
    return this._operations.values()
  }

  /**
   * Calls back after each change of an operation.
   * @param listener gets the operation as it now stands
   * @returns a function that ends the calls
   */
  onChange (listener: (operation: OperationRecord) => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /**
   * Applies one entry; entries of other folds are ignored.
   * @param entry the entry
   * @param position where its record stands
   */
  apply (entry: LogEntry, position: RecordPosition): void {
    switch (entry.kind.case) {
      case 'operationIntent':
        this._applyIntent(entry.kind.value, position)
        break
      case 'operationOutcome':
        this._applyOutcome(entry.kind.value)
        break
      case 'operationSettlement':
        this._applySettlement(entry.kind.value)
        break
    }
  }

  /** Encodes the state for a checkpoint. */
  encodeState (): Uint8Array {
    return toBinary(LedgerStateSchema, create(LedgerStateSchema, {
      operations: [...this._operations.values()],
      horizonMs: BigInt(this._horizon.valueMs),
      sweptMs: BigInt(this._sweptMs),
      routerHorizons: this._horizon.list()
    }))
  }

  /**
   * Replaces the state by a checkpoint's.
   * @param state what encodeState gave
   */
  decodeState (state: Uint8Array): void {
    const decoded = fromBinary(LedgerStateSchema, state)
    this._operations.clear()
    this._answerBytes.clear()
    this._totalAnswerBytes = 0
    this._horizon.replace(Number(decoded.horizonMs), decoded.routerHorizons)
    this._sweptMs = Number(decoded.sweptMs)
    for (const operation of decoded.operations) {
      const id = identify(operation.workspace, operation.key)
      this._operations.set(id, operation)
      this._countAnswer(id, operation.answer)
    }
  }

  private _applyIntent (intent: OperationIntent, position: RecordPosition): void {
    this._horizon.note(intent.routerId, Number(intent.horizonMs))
    this._sweep()
    if (Number(intent.keyTimeMs) < this._horizon.valueMs) return
    const known = this.get(intent.workspace, intent.key)
    if (known !== undefined && !mayWin(known, intent)) return
    this._keep(create(OperationRecordSchema, {
      key: intent.key,
      workspace: intent.workspace,
      route: intent.route,
      requestDigest: intent.requestDigest,
      attemptId: intent.attemptId,
      routerId: intent.routerId,
      state: OperationState.IN_PROGRESS,
      intentOffset: BigInt(position.offset),
      intentAtMs: BigInt(position.writtenAtMs),
      keyTimeMs: intent.keyTimeMs
    }))
  }

  private _applyOutcome (outcome: OperationOutcome): void {
    const known = this.get(outcome.workspace, outcome.key)
    if (known === undefined || known.attemptId !== outcome.attemptId) return
    if (!mayFollow(known, outcome.state)) return
    const answer = outcome.state === OperationState.ANSWERED ? outcome.answer : undefined
    this._keep({ ...known, state: outcome.state, answer })
  }

  private _applySettlement (settlement: OperationSettlement): void {
    const known = this.get(settlement.workspace, settlement.key)
    if (known === undefined || known.attemptId !== settlement.attemptId) return
    if (!isOpen(known.state)) return
    if (settlement.state !== OperationState.ANSWERED && settlement.state !== OperationState.NOT_RUN) return
    this._keep({ ...known, state: settlement.state, settledBy: settlement.actor ?? create(ActorSchema), settlementReason: settlement.reason })
  }

  private _keep (operation: OperationRecord): void {
    const id = identify(operation.workspace, operation.key)
    this._drop(id)
    this._operations.set(id, operation)
    this._countAnswer(id, operation.answer)
    this._cutAnswers()
    for (const listener of this._listeners) listener(operation)
  }

  private _drop (id: string): void {
    this._operations.delete(id)
    this._totalAnswerBytes -= this._answerBytes.get(id) ?? 0
    this._answerBytes.delete(id)
  }

  private _countAnswer (id: string, answer: StoredAnswer | undefined): void {
    if (answer === undefined || answer.body.length === 0) return
    this._answerBytes.set(id, answer.body.length)
    this._totalAnswerBytes += answer.body.length
  }

  /** Cuts the answers of the operations that changed longest ago; the operations themselves stay. */
  private _cutAnswers (): void {
    for (const [id, bytes] of this._answerBytes) {
      if (this._totalAnswerBytes <= MAXIMUM_ANSWER_BYTES) return
      this._totalAnswerBytes -= bytes
      this._answerBytes.delete(id)
      const operation = this._operations.get(id)
      if (operation?.answer === undefined) continue
      this._operations.set(id, { ...operation, answer: { ...operation.answer, body: new Uint8Array(), bodyDropped: true } })
    }
  }

  /** Drops closed operations older than the horizon; open ones stay until they are settled. */
  private _sweep (): void {
    if (this._horizon.valueMs - this._sweptMs < SWEEP_STEP_MS) return
    this._sweptMs = this._horizon.valueMs
    for (const [id, operation] of this._operations) {
      if (Number(operation.keyTimeMs) < this._sweptMs && !isOpen(operation.state)) this._drop(id)
    }
  }
}

function identify (workspace: string, key: string): string {
  return `${workspace}\n${key}`
}

function isOpen (state: OperationState): boolean {
  return state === OperationState.IN_PROGRESS || state === OperationState.IN_DOUBT
}

function mayWin (known: OperationRecord, intent: OperationIntent): boolean {
  if (known.state !== OperationState.NOT_RUN) return false
  if (known.attemptId === intent.attemptId) return false
  return Buffer.compare(known.requestDigest, intent.requestDigest) === 0
}

// Whether the winner's outcome may replace what is known of its attempt.
function mayFollow (known: OperationRecord, state: OperationState): boolean {
  if (known.state === OperationState.IN_PROGRESS) return state !== OperationState.IN_PROGRESS && state !== OperationState.UNSPECIFIED
  // The winner's late answer goes before a settlement made without it.
  return state === OperationState.ANSWERED && known.settledBy !== undefined && known.answer === undefined
}
