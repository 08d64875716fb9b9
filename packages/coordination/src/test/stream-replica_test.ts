import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { ReadResult } from '@mimosarock/coordination/read-result.js'
import { fromBinary } from '@bufbuild/protobuf'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { StreamReplica } from '@mimosarock/coordination/stream-replica.js'
import { LogRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { checkpointEntries } from './checkpoint-entries.js'
import { encodeRecord } from './encode-record.js'
import { AuditIdFold } from './audit-id-fold.js'
import { auditEntry } from './audit-entry.js'
import { VirtualClock } from './virtual-clock.js'

const STREAM = 's'
/** Small limit, which makes short histories take many reads. */
const READ_LIMIT = 3

interface Follower {
  readonly replica: StreamReplica
  readonly fold: AuditIdFold
  readonly clock: VirtualClock
  readonly end: () => Promise<void>
}

/** Starts a replica of a log service; `read` replaces the read function of the service. */
function follow (log: LogServiceStandIn, read: LogService['read'] = (stream, from, options) => log.read(stream, from, { ...options, limit: READ_LIMIT })): Follower {
  const fold = new AuditIdFold()
  const clock = new VirtualClock()
  const service: LogService = { append: (stream, data) => log.append(stream, data), read }
  const replica = new StreamReplica({
    stream: STREAM, logService: service, fold, clock, eventLog: new SilentEventLog(), longPollMs: 0, slowPollMs: 1_000, readTimeoutMs: 60_000, isReader: () => false
  })
  const controller = new AbortController()
  const task = replica.run(controller.signal)
  return {
    replica,
    fold,
    clock,
    end: async () => {
      controller.abort()
      await task
    }
  }
}

async function followToEnd (log: LogServiceStandIn): Promise<Follower> {
  const follower = follow(log)
  await follower.clock.runUntil(() => follower.replica.stateLost || Number.isFinite(follower.replica.stalenessMs))
  await follower.end()
  return follower
}

function state (follower: Follower): unknown {
  const { coversOffset, state } = follower.replica.checkpoint()
  return { coversOffset, state: Buffer.from(state).toString('base64'), appliedEntries: follower.fold.appliedEntries }
}

/** One step of a history: the next record of a writer, possibly repeated or delayed, and optionally a checkpoint in parts. */
const step = fc.record({
  writer: fc.integer({ min: 0, max: 3 }),
  entries: fc.integer({ min: 0, max: 2 }),
  copies: fc.integer({ min: 1, max: 3 }),
  delay: fc.integer({ min: 0, max: 4 }),
  checkpointParts: fc.oneof({ weight: 3, arbitrary: fc.constant(0) }, fc.integer({ min: 1, max: 3 })),
  firstPartLost: fc.oneof({ weight: 4, arbitrary: fc.constant(false) }, fc.constant(true))
})
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never

/** Writes a history with repeated and delayed records; each checkpoint covers the records before it. */
async function writeHistory (log: LogServiceStandIn, steps: readonly Step[]): Promise<void> {
  const sequences = [0, 0, 0, 0]
  const delayed: Array<{ due: number, data: Uint8Array }> = []
  for (const [index, { writer, entries, copies, delay, checkpointParts, firstPartLost }] of steps.entries()) {
    const sequence = (sequences[writer] ?? 0) + 1
    sequences[writer] = sequence
    const auditEntries = Array.from({ length: entries }, (_, entry) => auditEntry(`${writer}-${sequence}-${entry}`))
    const data = encodeRecord(`w${writer}`, sequence, auditEntries)
    if (delay === 0) await log.append(STREAM, data)
    for (let copy = delay === 0 ? 1 : 0; copy < copies; copy += 1) delayed.push({ due: index + delay + copy, data })
    for (const record of delayed.splice(0)) {
      if (record.due > index) delayed.push(record)
      else await log.append(STREAM, record.data)
    }
    if (checkpointParts > 0) await writeCheckpoint(log, `c${index}`, checkpointParts, firstPartLost)
  }
}

async function writeCheckpoint (log: LogServiceStandIn, id: string, parts: number, firstPartLost: boolean): Promise<void> {
  const follower = await followToEnd(log)
  const entries = checkpointEntries(id, follower.replica.checkpoint(), parts)
  for (const [part, entry] of entries.entries()) {
    if (firstPartLost && part === 0) continue
    await log.append(STREAM, encodeRecord(`checkpoint-${id}`, part + 1, [entry]))
  }
}

/** Whether the remaining records contain a complete checkpoint that covers every record before the oldest of them. */
function isCovered (log: LogServiceStandIn, oldest: number): boolean {
  const parts = new Map<string, Set<number>>()
  for (const record of log.records(STREAM)) {
    for (const { kind } of fromBinary(LogRecordSchema, record.data).entries) {
      if (kind.case !== 'checkpoint' || Number(kind.value.coversOffset) < oldest - 1) continue
      const found = parts.get(kind.value.checkpointId) ?? new Set()
      parts.set(kind.value.checkpointId, found.add(kind.value.part))
      if (found.size === kind.value.parts) return true
    }
  }
  return false
}

test('starting from any valid checkpoint gives the same state as applying the stream from the start', async () => {
  let checkpointStarts = 0
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 12 }), async (steps) => {
    const log = new LogServiceStandIn()
    await writeHistory(log, steps)
    const expected = state(await followToEnd(log))
    const next = log.records(STREAM).length + 1
    for (let oldest = 2; oldest <= next; oldest += 1) {
      log.truncate(STREAM, oldest)
      const follower = await followToEnd(log)
      const covered = isCovered(log, oldest)
      expect([follower.replica.started, follower.replica.stateLost]).toEqual([covered, !covered])
      if (!covered) continue
      checkpointStarts += 1
      expect(state(follower)).toEqual(expected)
    }
  }), { seed: 1, numRuns: 60 })
  expect(checkpointStarts).toBeGreaterThan(100)
})

test('after the first records expired, a replica starts from the first checkpoint that covers them', async () => {
  const log = new LogServiceStandIn()
  for (let sequence = 1; sequence <= 3; sequence += 1) await log.append(STREAM, encodeRecord('w', sequence, [auditEntry(`${sequence}`)]))
  await writeCheckpoint(log, 'c', 2, false)
  await log.append(STREAM, encodeRecord('w', 4, [auditEntry('4')]))
  const expected = state(await followToEnd(log))
  const seen: string[] = []
  for (let oldest = 1; oldest <= 7; oldest += 1) {
    log.truncate(STREAM, oldest)
    const follower = await followToEnd(log)
    const same = JSON.stringify(state(follower)) === JSON.stringify(expected)
    seen.push(`oldest ${oldest}: started ${follower.replica.started}, same state ${same}`)
  }
  expect(seen).toMatchInlineSnapshot(`
    [
      "oldest 1: started true, same state true",
      "oldest 2: started true, same state true",
      "oldest 3: started true, same state true",
      "oldest 4: started true, same state true",
      "oldest 5: started false, same state false",
      "oldest 6: started false, same state false",
      "oldest 7: started false, same state false",
    ]
  `)
})

/** Event that occurs after the log service has read and before the replica receives the result. */
const concurrentEvent = fc.oneof(
  fc.record({ kind: fc.constant('adopt' as const), share: fc.double({ min: 0, max: 1, noNaN: true }) }),
  fc.record({ kind: fc.constant('offer' as const), share: fc.double({ min: 0, max: 1, noNaN: true }) }),
  fc.record({ kind: fc.constant('truncate' as const), share: fc.double({ min: 0, max: 1, noNaN: true }) }),
  fc.record({ kind: fc.constant('nothing' as const), share: fc.constant(0) })
)

test('records and states from peers that arrive during a read cause neither a gap nor a return to an older state', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 12 }), fc.array(concurrentEvent, { maxLength: 12 }), fc.double({ min: 0, max: 0.5, noNaN: true }), async (steps, concurrentEvents, expiredShare) => {
    const log = new LogServiceStandIn()
    await writeHistory(log, steps)
    const peer = await followToEnd(log)
    const records = [...log.records(STREAM)]
    const followers = await followersAtEveryOffset(records.map((record) => record.data))
    const expected = state(peer)
    log.truncate(STREAM, Math.floor(expiredShare * records.length))
    const pending = [...concurrentEvents]
    const appliedOffsets: number[] = []
    const follower: Follower = follow(log, async (stream, from, options): Promise<ReadResult> => {
      const result = await log.read(stream, from, { ...options, limit: READ_LIMIT })
      const next = pending.shift()
      const offset = Math.floor((next?.share ?? 0) * records.length)
      if (next?.kind === 'truncate') log.truncate(STREAM, offset)
      if (next?.kind === 'adopt') follower.replica.adopt((followers[offset] as Follower).replica.checkpoint())
      if (next?.kind === 'offer') follower.replica.offer(peer.replica.recordsAfter(offset, 1_000) ?? [])
      appliedOffsets.push(follower.replica.appliedOffset)
      return result
    })
    await follower.clock.runUntil(() => pending.length === 0 && follower.replica.appliedOffset >= records.length).catch(() => {})
    await follower.end()
    expect(appliedOffsets).toEqual([...appliedOffsets].sort((left, right) => left - right))
    if (follower.replica.appliedOffset === records.length) expect(state(follower)).toEqual(expected)
    else expect(follower.replica.stateLost).toBe(true)
  }), { seed: 2, numRuns: 150 })
})

async function followersAtEveryOffset (recordData: readonly Uint8Array[]): Promise<Follower[]> {
  const log = new LogServiceStandIn()
  const peers = [await followToEnd(log)]
  for (const data of recordData) {
    await log.append(STREAM, data)
    peers.push(await followToEnd(log))
  }
  return peers
}
