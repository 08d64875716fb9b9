import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { LogEntry, OperationIntent, OperationOutcome, OperationRecord, OperationSettlement, StoredAnswer } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, LedgerStateSchema, OperationRecordSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { LogFold } from '../log-fold.js'
import type { RecordPosition } from '../record-position.js'
import { LedgerHorizon } from './ledger-horizon.js'

/** Advance of the horizon after which old operations are deleted; a sweep visits all operations. */
const SWEEP_STEP_MS = 60_000
/** Upper bound on the bytes of response bodies over all operations; beyond it the bodies of the least recently changed operations are dropped and only their digests stay. */
const MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024

/**
 * State of all operations that may run at most once, determined by the order of the records in the stream.
 *
 * - The first intent for a key of a workspace wins the key. Another intent can win it only after the outcome of the
 *   winner, or a settlement, was NOT_RUN. One attempt never wins the same key twice in a row.
 * - Only the outcome of the winning attempt takes effect. After ANSWERED or IN_DOUBT no further intent
 *   wins the key, unless an operation in doubt is settled as NOT_RUN.
 * - A settlement takes effect while the attempt that it names is in progress or in doubt.
 * - An intent whose key is older than the horizon never wins, and only operations older than the horizon are
 *   deleted. The horizon never moves back, so a deleted key cannot be won again, even if clocks are wrong.
 */
export class LedgerFold implements LogFold {
  private readonly _operations = new Map<string, OperationRecord>()
  /** Sizes of the stored response bodies by operation, least recently changed first. */
  private readonly _answerBytes = new Map<string, number>()
  private readonly _horizon = new LedgerHorizon()
  private readonly _listeners = new Set<(operation: OperationRecord) => void>()
  private _totalAnswerBytes = 0
  private _sweptMs = 0

  /** Number of operations. */
  get size (): number {
    return this._operations.size
  }

  /** Horizon in milliseconds since the epoch; an older key cannot be won. */
  get horizonMs (): number {
    return this._horizon.valueMs
  }

  /**
   * Returns the operation of a key, or undefined if there is none.
   * @param workspace name of the workspace that the key belongs to
   * @param key value of the Idempotency-Key header
   */
  get (workspace: string, key: string): OperationRecord | undefined {
    return this._operations.get(operationId(workspace, key))
  }

  /** Returns all operations, least recently changed first. */
  list (): IterableIterator<OperationRecord> {
    return this._operations.values()
  }

  /**
   * Adds a listener that is called after each change of an operation.
   * @param listener receives the new state of the operation
   * @returns a function that removes the listener
   */
  onChange (listener: (operation: OperationRecord) => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /**
   * Applies an intent, an outcome or a settlement; other entries are ignored.
   * @param entry entry of the stream
   * @param position position of the entry's record
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

  /** Returns the encoded state for a checkpoint. */
  encodeState (): Uint8Array {
    return toBinary(LedgerStateSchema, create(LedgerStateSchema, {
      operations: [...this._operations.values()],
      horizonMs: BigInt(this._horizon.valueMs),
      sweptMs: BigInt(this._sweptMs),
      routerHorizons: this._horizon.list()
    }))
  }

  /**
   * Replaces the state with that of a checkpoint.
   * @param state state encoded by `encodeState`
   */
  decodeState (state: Uint8Array): void {
    const decoded = fromBinary(LedgerStateSchema, state)
    this._operations.clear()
    this._answerBytes.clear()
    this._totalAnswerBytes = 0
    this._horizon.replace(Number(decoded.horizonMs), decoded.routerHorizons)
    this._sweptMs = Number(decoded.sweptMs)
    for (const operation of decoded.operations) {
      const id = operationId(operation.workspace, operation.key)
      this._operations.set(id, operation)
      this._countAnswerBytes(id, operation.answer)
    }
  }

  private _applyIntent (intent: OperationIntent, position: RecordPosition): void {
    this._horizon.recordHorizon(intent.routerId, Number(intent.horizonMs))
    this._sweep()
    if (Number(intent.keyTimeMs) < this._horizon.valueMs) return
    const known = this.get(intent.workspace, intent.key)
    if (known !== undefined && !canWin(known, intent)) return
    this._store(create(OperationRecordSchema, {
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
    if (!canReplace(known, outcome.state)) return
    const answer = outcome.state === OperationState.ANSWERED ? outcome.answer : undefined
    this._store({ ...known, state: outcome.state, answer })
  }

  private _applySettlement (settlement: OperationSettlement): void {
    const known = this.get(settlement.workspace, settlement.key)
    if (known === undefined || known.attemptId !== settlement.attemptId) return
    if (!isOpen(known.state)) return
    if (settlement.state !== OperationState.ANSWERED && settlement.state !== OperationState.NOT_RUN) return
    this._store({ ...known, state: settlement.state, settledBy: settlement.actor ?? create(ActorSchema), settlementReason: settlement.reason })
  }

  private _store (operation: OperationRecord): void {
    const id = operationId(operation.workspace, operation.key)
    this._delete(id)
    this._operations.set(id, operation)
    this._countAnswerBytes(id, operation.answer)
    this._evictAnswerBodies()
    for (const listener of this._listeners) listener(operation)
  }

  private _delete (id: string): void {
    this._operations.delete(id)
    this._totalAnswerBytes -= this._answerBytes.get(id) ?? 0
    this._answerBytes.delete(id)
  }

  private _countAnswerBytes (id: string, answer: StoredAnswer | undefined): void {
    if (answer === undefined || answer.body.length === 0) return
    this._answerBytes.set(id, answer.body.length)
    this._totalAnswerBytes += answer.body.length
  }

  /** Drops the response bodies of the least recently changed operations until the rest fits; the operations stay. */
  private _evictAnswerBodies (): void {
    for (const [id, bytes] of this._answerBytes) {
      if (this._totalAnswerBytes <= MAXIMUM_ANSWER_BYTES) return
      this._totalAnswerBytes -= bytes
      this._answerBytes.delete(id)
      const operation = this._operations.get(id)
      if (operation?.answer === undefined) continue
      this._operations.set(id, { ...operation, answer: { ...operation.answer, body: new Uint8Array(), bodyDropped: true } })
    }
  }

  /** Deletes closed operations older than the horizon; open ones stay until they are settled. */
  private _sweep (): void {
    if (this._horizon.valueMs - this._sweptMs < SWEEP_STEP_MS) return
    this._sweptMs = this._horizon.valueMs
    for (const [id, operation] of this._operations) {
      if (Number(operation.keyTimeMs) < this._sweptMs && !isOpen(operation.state)) this._delete(id)
    }
  }
}

function operationId (workspace: string, key: string): string {
  return `${workspace}\n${key}`
}

function isOpen (state: OperationState): boolean {
  return state === OperationState.IN_PROGRESS || state === OperationState.IN_DOUBT
}

function canWin (known: OperationRecord, intent: OperationIntent): boolean {
  if (known.state !== OperationState.NOT_RUN) return false
  if (known.attemptId === intent.attemptId) return false
  return Buffer.compare(known.requestDigest, intent.requestDigest) === 0
}

// Whether the outcome of the winning attempt may replace the recorded state of that attempt.
function canReplace (known: OperationRecord, state: OperationState): boolean {
  if (known.state === OperationState.IN_PROGRESS) return state !== OperationState.IN_PROGRESS && state !== OperationState.UNSPECIFIED
  // A late response of the winner overrides a settlement that was made without it.
  return state === OperationState.ANSWERED && known.settledBy !== undefined && known.answer === undefined
}
