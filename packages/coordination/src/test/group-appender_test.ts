import { GroupAppender } from '@mimosarock/coordination/group-appender.js'
import type { LogService } from '@mimosarock/coordination/log-service.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { StreamReplica } from '@mimosarock/coordination/stream-replica.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { AuditIdFold } from './audit-id-fold.js'
import { auditEntry } from './audit-entry.js'
import { VirtualClock } from './virtual-clock.js'

const STREAM = 's'

/** A replica and an appender on a stand-in for the log service, with a virtual clock and a replaceable append function. */
class Writer {
  readonly clock = new VirtualClock()
  readonly fold = new AuditIdFold()
  readonly log = new LogServiceStandIn()
  readonly replica: StreamReplica
  readonly appender: GroupAppender
  appends = 0
  private readonly _ending = new AbortController()
  private readonly _tasks: Array<Promise<void>>

  constructor (append: (log: LogServiceStandIn, data: Uint8Array) => Promise<number>, slowPollMs = 20) {
    const service: LogService = {
      append: async (_stream, data) => {
        this.appends += 1
        return await append(this.log, data)
      },
      read: (stream, from, options) => this.log.read(stream, from, { ...options, waitMs: 0 })
    }
    const common = { clock: this.clock, eventLog: new SilentEventLog(), logService: service }
    this.replica = new StreamReplica({ ...common, stream: STREAM, fold: this.fold, longPollMs: 0, slowPollMs, readTimeoutMs: 60_000, isReader: () => false })
    this.appender = new GroupAppender({ ...common, replica: this.replica, writerId: 'w', groupIntervalMs: 10, appendTimeoutMs: 60_000, maximumRecordBytes: 60 })
    this._tasks = [this.replica.run(this._ending.signal), this.appender.run(this._ending.signal)]
  }

  /** Appends an entry and returns its id and offset, or the code and run state of the error. */
  async append (id: string, timeoutMs: number): Promise<string> {
    return await this.appender.append(auditEntry(id), timeoutMs).then(
      (offset) => `${id}@${offset}`,
      (error) => error instanceof MimosarockError ? `${error.code} ${error.run}` : String(error)
    )
  }

  async end (): Promise<void> {
    this._ending.abort()
    await Promise.all(this._tasks)
  }
}

/**
 * Outcome of one append: `ok` appends and responds; `lost` appends, but the response is lost; `twice` appends two copies and
 * responds; `refused` fails without appending; `late` fails, and the record is appended later.
 */
const outcome = fc.constantFrom('ok', 'lost', 'twice', 'refused', 'late')

test('settles each entry once: confirmed entries are applied exactly once, entries rejected as not run never', async () => {
  const seenResults = new Set<string>()
  await fc.assert(fc.asyncProperty(
    fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 30 }), timeoutMs: fc.integer({ min: 1, max: 400 }) }), { minLength: 1, maxLength: 10 }),
    fc.array(outcome, { maxLength: 12 }),
    async (entries, outcomes) => {
      const late: Uint8Array[] = []
      const writer = new Writer(async (log, data) => {
        const next = outcomes.shift() ?? 'ok'
        for (const record of late.splice(0, outcomes.length % 2)) await log.append(STREAM, record)
        if (next === 'late') late.push(data)
        if (next === 'twice') await log.append(STREAM, data)
        const offset = next === 'refused' || next === 'late' ? 0 : await log.append(STREAM, data)
        if (next === 'ok' || next === 'twice') return offset
        throw new Error(next)
      })
      const settled: string[] = []
      let submitted = 0
      for (const [index, entry] of entries.entries()) {
        const id = `e${index}`
        writer.append(id, entry.timeoutMs).then((result) => settled.push(`${id}: ${result}`))
        submitted += 1
        let passed = false
        writer.clock.sleep(entry.afterMs).then(() => { passed = true })
        await writer.clock.runUntil(() => passed)
      }
      await writer.clock.runUntil(() => settled.length === submitted)
      for (const record of late) await writer.log.append(STREAM, record)
      const last = writer.log.records(STREAM).length
      await writer.clock.runUntil(() => writer.replica.appliedOffset === last)
      await writer.end()
      const appliedIds = writer.fold.appliedEntries.map((entry) => entry.split('@')[0])
      expect(appliedIds.length).toBe(new Set(appliedIds).size)
      for (const line of settled) {
        const [id = '', result = ''] = line.split(': ')
        seenResults.add(result.split('@').length > 1 ? 'confirmed' : result)
        if (result.includes('@')) expect(writer.fold.appliedEntries).toContain(result)
        if (result.includes('not-run')) expect(appliedIds).not.toContain(id)
      }
    }
  ), { seed: 3, numRuns: 200 })
  expect([...seenResults].sort()).toEqual(['7001 not-run', '7001 unknown', 'confirmed'])
})

test('batches entries that are queued while an append is in flight into the next record', async () => {
  const writer = new Writer(async (log, data) => {
    await writer.clock.sleep(50)
    return await log.append(STREAM, data)
  })
  const results = Array.from({ length: 4 }, (_, index) => writer.append(`e${index}`, 10_000))
  let settled = 0
  for (const result of results) result.then(() => { settled += 1 })
  await writer.clock.runUntil(() => settled === 4)
  await writer.end()
  expect(await Promise.all(results)).toEqual(['e0@1', 'e1@1', 'e2@1', 'e3@1'])
  expect(writer.appends).toBe(1)
})

test('does not send a burst of appends during an outage when one of the callers times out', async () => {
  const writer = new Writer(async () => { throw new Error('outage') })
  const results: string[] = []
  writer.append('impatient', 5).then((result) => results.push(result))
  writer.append('patient', 5_000).then((result) => results.push(result))
  await writer.clock.runUntil(() => results.length === 2)
  await writer.end()
  expect(results).toEqual(['7001 unknown', '7001 unknown'])
  expect(writer.appends).toBeLessThan(20)
})

test('a read requested while another is in flight is followed by a new read', async () => {
  const writer = new Writer(async (log, data) => await log.append(STREAM, data), 5_000)
  const read = writer.log.read.bind(writer.log)
  let release: (() => void) | undefined
  writer.log.read = async (stream, from, options) => {
    const result = await read(stream, from, options)
    if (release === undefined) await new Promise<void>((resolve) => { release = resolve })
    return result
  }
  await writer.clock.runUntil(() => release !== undefined)
  let result = ''
  writer.append('e', 1_000).then((settled) => { result = settled })
  await writer.clock.runUntil(() => writer.log.records(STREAM).length === 1)
  release?.()
  await writer.clock.runUntil(() => result !== '')
  await writer.end()
  expect(result).toBe('e@1')
})
