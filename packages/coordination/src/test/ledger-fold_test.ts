import { create, toBinary } from '@bufbuild/protobuf'
import type { LogEntry, OperationRecord } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema, LogRecordSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { LedgerFold } from '../ledger/ledger-fold.js'
import { SilentEventLog } from '../silent-event-log.js'
import { StreamReplica } from '../stream-replica.js'
import { SystemClock } from '../system-clock.js'
import { MemoryLogService } from './memory-log-service.js'

const STREAM = 'operations-0'
const WRITERS = 3
const ATTEMPTS = 9
const KEYS = 3
const SEED = 20_261

interface Step {
  readonly kind: 'intent' | 'outcome' | 'settlement'
  readonly attempt: number
  readonly state: OperationState
  readonly keyTimeMs: number
  readonly horizonMs: number
}

interface WrittenRecord {
  readonly writer: number
  readonly sequence: number
  readonly steps: readonly Step[]
}

/** Maps attempts to fewer keys, which gives histories with several attempts for each key. */
const keyOf = (attempt: number): string => `key-${attempt % KEYS}`
/** Each key has a fixed creation time, since a caller that retries repeats both. */
const keyTimeOf = (attempt: number): number => (attempt % KEYS) * 100_000

function entryOf (step: Step): LogEntry {
  const common = { key: keyOf(step.attempt), workspace: 'alpha', attemptId: `attempt-${step.attempt}` }
  switch (step.kind) {
    case 'intent':
      return create(LogEntrySchema, {
        kind: {
          case: 'operationIntent',
          value: { ...common, routerId: `router-${step.attempt % 4}`, requestDigest: new Uint8Array([1]), keyTimeMs: BigInt(step.keyTimeMs), horizonMs: BigInt(step.horizonMs) }
        }
      })
    case 'outcome':
      return create(LogEntrySchema, { kind: { case: 'operationOutcome', value: { ...common, state: step.state, answer: { status: 200, body: new Uint8Array([step.attempt]) } } } })
    case 'settlement':
      return create(LogEntrySchema, { kind: { case: 'operationSettlement', value: { ...common, state: step.state, reason: 'checked' } } })
  }
}

const step = fc.record<Step>({
  kind: fc.constantFrom('intent', 'intent', 'outcome', 'settlement'),
  attempt: fc.nat(ATTEMPTS - 1),
  state: fc.constantFrom(OperationState.ANSWERED, OperationState.NOT_RUN, OperationState.NOT_RUN, OperationState.IN_DOUBT),
  keyTimeMs: fc.constant(0),
  horizonMs: fc.constantFrom(0, 0, 0, 90_000, 150_000)
}).map((drawn) => ({ ...drawn, keyTimeMs: keyTimeOf(drawn.attempt) }))

/** Records of several writers in log order, with duplicates and with old sequence numbers that arrive late. */
const history = fc.array(fc.record({ writer: fc.nat(WRITERS - 1), steps: fc.array(step, { minLength: 1, maxLength: 4 }), repeat: fc.nat(5), late: fc.nat(6) }), { minLength: 1, maxLength: 40 })
  .map((groups) => {
    const sequences = new Array<number>(WRITERS).fill(0)
    const log: WrittenRecord[] = []
    for (const group of groups) {
      const sequence = (sequences[group.writer] ?? 0) + 1
      sequences[group.writer] = sequence
      const record = { writer: group.writer, sequence, steps: group.steps }
      log.push(record)
      if (group.repeat === 0) log.push(record)
      if (group.late === 0) log.splice(Math.max(0, log.length - 3), 0, record)
    }
    return log
  })

function encode (record: WrittenRecord): Uint8Array {
  return toBinary(LogRecordSchema, create(LogRecordSchema, {
    writerId: `writer-${record.writer}`,
    sequence: BigInt(record.sequence),
    entries: record.steps.map(entryOf)
  }))
}

async function readAll (logService: MemoryLogService): Promise<{ replica: StreamReplica, fold: LedgerFold }> {
  const fold = new LedgerFold()
  const replica = new StreamReplica({ stream: STREAM, logService, fold, clock: new SystemClock(), eventLog: new SilentEventLog(), longPollMs: 0, slowPollMs: 1, readTimeoutMs: 1_000 })
  const ended = new AbortController()
  replica.onProven(() => ended.abort())
  await replica.run(ended.signal)
  return { replica, fold }
}

describe('LedgerFold', () => {
  test('reaches the same state from a checkpoint and a truncated stream as from the full stream', async () => {
    await fc.assert(fc.asyncProperty(history, fc.nat(100), fc.nat(100), async (records, coverShare, expireShare) => {
      const logService = new MemoryLogService()
      const covered = Math.floor(records.length * coverShare / 101)
      for (const record of records.slice(0, covered)) logService.write(STREAM, encode(record))
      const { replica } = await readAll(logService)
      const checkpoint = replica.checkpoint()
      for (const record of records.slice(covered)) logService.write(STREAM, encode(record))
      logService.write(STREAM, toBinary(LogRecordSchema, create(LogRecordSchema, {
        writerId: 'checkpointer',
        sequence: 1n,
        entries: [create(LogEntrySchema, { kind: { case: 'checkpoint', value: { checkpointId: 'c', coversOffset: BigInt(checkpoint.coversOffset), part: 0, parts: 1, state: checkpoint.state } } })]
      })))
      const fromStart = await readAll(logService)
      logService.expireBefore(STREAM, 1 + Math.floor(covered * expireShare / 100))
      const fromCheckpoint = await readAll(logService)
      expect(fromCheckpoint.fold.size).toBe(fromStart.fold.size)
      expect(Buffer.from(fromCheckpoint.replica.checkpoint().state)).toEqual(Buffer.from(fromStart.replica.checkpoint().state))
    }), { seed: SEED, numRuns: 150 })
  })

  test('lets a second attempt win only after the first was recorded or settled as not run', () => {
    fc.assert(fc.property(history, (records) => {
      const fold = new LedgerFold()
      const lastOperations = new Map<string, OperationRecord>()
      const everWon = new Set<string>()
      fold.onChange((operation) => {
        const before = lastOperations.get(operation.key)
        lastOperations.set(operation.key, operation)
        if (operation.state !== OperationState.IN_PROGRESS) return
        if (before !== undefined) expect(before.state).toBe(OperationState.NOT_RUN)
        expect(before?.attemptId).not.toBe(operation.attemptId)
        everWon.add(operation.attemptId)
      })
      records.forEach((record, index) => {
        for (const entry of record.steps.map(entryOf)) {
          fold.apply(entry, { offset: index + 1, writerId: `writer-${record.writer}`, sequence: record.sequence, writtenAtMs: 0 })
        }
      })
      for (const operation of fold.list()) expect(everWon).toContain(operation.attemptId)
    }), { seed: SEED, numRuns: 300 })
  })

  test('never lets a deleted key win again', () => {
    fc.assert(fc.property(history, (records) => {
      const fold = new LedgerFold()
      const answeredKeys = new Set<string>()
      fold.onChange((operation) => {
        if (operation.state === OperationState.IN_PROGRESS) expect(answeredKeys).not.toContain(operation.key)
        if (operation.state === OperationState.ANSWERED) answeredKeys.add(operation.key)
      })
      records.forEach((record, index) => {
        for (const written of record.steps) {
          fold.apply(entryOf(written), { offset: index + 1, writerId: 'w', sequence: index + 1, writtenAtMs: 0 })
        }
      })
    }), { seed: SEED, numRuns: 300 })
  })

  test('ignores a single router whose clock is far ahead', () => {
    const fold = new LedgerFold()
    const apply = (attempt: number, horizonMs: number): void => {
      fold.apply(entryOf({ kind: 'intent', attempt, state: OperationState.UNSPECIFIED, keyTimeMs: 100_000, horizonMs }), { offset: attempt + 1, writerId: 'w', sequence: attempt + 1, writtenAtMs: 0 })
    }
    apply(0, 9_000_000)
    apply(1, 50_000)
    expect(fold.horizonMs).toBe(50_000)
    expect(fold.get('alpha', 'key-1')?.attemptId).toBe('attempt-1')
  })

  const rules: ReadonlyArray<{ name: string, steps: ReadonlyArray<Pick<Step, 'kind' | 'attempt' | 'state'>>, finalState: OperationState, attempt: number }> = [
    { name: 'the intent at the lower offset wins', steps: [intent(0), intent(3)], finalState: OperationState.IN_PROGRESS, attempt: 0 },
    { name: 'the outcome of a losing attempt is ignored', steps: [intent(0), intent(3), outcome(3, OperationState.ANSWERED)], finalState: OperationState.IN_PROGRESS, attempt: 0 },
    { name: 'an outcome of not run reopens the key', steps: [intent(0), outcome(0, OperationState.NOT_RUN), intent(3)], finalState: OperationState.IN_PROGRESS, attempt: 3 },
    { name: 'an attempt that was not run does not win again', steps: [intent(0), outcome(0, OperationState.NOT_RUN), intent(0)], finalState: OperationState.NOT_RUN, attempt: 0 },
    { name: 'no other attempt wins the key after an outcome of in doubt', steps: [intent(0), outcome(0, OperationState.IN_DOUBT), intent(3)], finalState: OperationState.IN_DOUBT, attempt: 0 },
    { name: 'no other attempt wins the key after an outcome of answered', steps: [intent(0), outcome(0, OperationState.ANSWERED), intent(3)], finalState: OperationState.ANSWERED, attempt: 0 },
    { name: 'a settlement as not run reopens a key in doubt', steps: [intent(0), outcome(0, OperationState.IN_DOUBT), settlement(0, OperationState.NOT_RUN), intent(3)], finalState: OperationState.IN_PROGRESS, attempt: 3 },
    { name: 'a settlement of an earlier attempt is ignored', steps: [intent(0), outcome(0, OperationState.NOT_RUN), intent(3), settlement(0, OperationState.ANSWERED)], finalState: OperationState.IN_PROGRESS, attempt: 3 },
    { name: 'a settlement after the response is ignored', steps: [intent(0), outcome(0, OperationState.ANSWERED), settlement(0, OperationState.NOT_RUN)], finalState: OperationState.ANSWERED, attempt: 0 },
    { name: 'a late response of the winner overrides a settlement', steps: [intent(0), settlement(0, OperationState.NOT_RUN), outcome(0, OperationState.ANSWERED), intent(3)], finalState: OperationState.ANSWERED, attempt: 0 },
    { name: 'a late in-doubt outcome of the winner does not override a settlement', steps: [intent(0), settlement(0, OperationState.ANSWERED), outcome(0, OperationState.IN_DOUBT)], finalState: OperationState.ANSWERED, attempt: 0 },
    { name: 'a late response of a replaced attempt is ignored', steps: [intent(0), settlement(0, OperationState.NOT_RUN), intent(3), outcome(0, OperationState.ANSWERED)], finalState: OperationState.IN_PROGRESS, attempt: 3 }
  ]

  test.each(rules)('$name', ({ steps, finalState, attempt }) => {
    const fold = new LedgerFold()
    steps.forEach((partial, index) => {
      fold.apply(entryOf({ ...partial, keyTimeMs: 100, horizonMs: 0 }), { offset: index + 1, writerId: 'w', sequence: index + 1, writtenAtMs: 0 })
    })
    const operation = fold.get('alpha', 'key-0')
    expect({ state: operation?.state, attempt: operation?.attemptId }).toEqual({ state: finalState, attempt: `attempt-${attempt}` })
  })
})

function intent (attempt: number): Pick<Step, 'kind' | 'attempt' | 'state'> {
  return { kind: 'intent', attempt, state: OperationState.UNSPECIFIED }
}

function outcome (attempt: number, state: OperationState): Pick<Step, 'kind' | 'attempt' | 'state'> {
  return { kind: 'outcome', attempt, state }
}

function settlement (attempt: number, state: OperationState): Pick<Step, 'kind' | 'attempt' | 'state'> {
  return { kind: 'settlement', attempt, state }
}
