import { create } from '@bufbuild/protobuf'
import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import fc from 'fast-check'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { GroupAppender } from '../group-appender.js'
import { LeaseFold } from '../leases/lease-fold.js'
import { LeaseHolder } from '../leases/lease-holder.js'
import { SilentEventLog } from '../silent-event-log.js'
import { StreamReplica } from '../stream-replica.js'
import { JumpingClock } from './jumping-clock.js'
import { MemoryLogService } from './memory-log-service.js'

const DURATION_MS = 300
const PAUSE_ALLOWANCE_MS = 100
const STREAM = 'leases'
const SEED = 7_041
const controllers: AbortController[] = []

interface Contender {
  readonly holder: LeaseHolder
  readonly clock: JumpingClock
  readonly fold: LeaseFold
  readonly log: DisconnectableLog
  readonly end: () => Promise<void>
}

/** Connection of one contender to the shared log; a test can disconnect it. */
class DisconnectableLog extends MemoryLogService {
  isDisconnected = false
  private readonly _shared: MemoryLogService

  constructor (shared: MemoryLogService) {
    super()
    this._shared = shared
  }

  override async append (...args: Parameters<MemoryLogService['append']>): Promise<number> {
    this.appendsDown = this.isDisconnected
    if (this.isDisconnected) return await super.append(...args)
    return await this._shared.append(...args)
  }

  override async read (...args: Parameters<MemoryLogService['read']>): ReturnType<MemoryLogService['read']> {
    this.readsDown = this.isDisconnected
    if (this.isDisconnected) return await super.read(...args)
    return await this._shared.read(...args)
  }
}

function startContender (shared: MemoryLogService, processId: string): Contender {
  const log = new DisconnectableLog(shared)
  const clock = new JumpingClock()
  const eventLog = new SilentEventLog()
  const fold = new LeaseFold()
  const replica = new StreamReplica({ stream: STREAM, logService: log, fold, clock, eventLog, longPollMs: 200, slowPollMs: 5, readTimeoutMs: 500 })
  const appender = new GroupAppender({ logService: log, replica, writerId: processId, clock, eventLog, groupIntervalMs: 1, appendTimeoutMs: 200, maximumRecordBytes: 65_536 })
  const holder = new LeaseHolder({
    lease: 'orders',
    processId,
    replica,
    fold,
    appender,
    clock,
    eventLog,
    durationMs: DURATION_MS,
    stopMarginMs: 30,
    pauseAllowanceMs: PAUSE_ALLOWANCE_MS,
    isCandidate: () => true
  })
  const streams = new AbortController()
  const holding = new AbortController()
  controllers.push(streams, holding)
  replica.run(streams.signal).catch(() => {})
  appender.run(streams.signal).catch(() => {})
  const running = holder.run(holding.signal)
  return {
    holder,
    clock,
    fold,
    log,
    end: async () => {
      holding.abort()
      await running
      await holder.release()
    }
  }
}

afterEach(() => {
  for (const controller of controllers.splice(0)) controller.abort()
})

describe('LeaseHolder', () => {
  test('grants the lease to one of two contenders and retains its fencing number across renewals', async () => {
    const log = new MemoryLogService()
    const both = [startContender(log, 'one'), startContender(log, 'two')]
    await vi.waitFor(() => expect(both.filter((contender) => contender.holder.current() !== undefined)).toHaveLength(1))
    const first = both.find((contender) => contender.holder.current() !== undefined)
    const fencingNumber = first?.holder.current()?.fencingNumber
    const lastOffset = first?.fold.get('orders')?.lastOffset ?? 0n
    await vi.waitFor(() => expect(Number(first?.fold.get('orders')?.lastOffset)).toBeGreaterThan(Number(lastOffset) + 2), { timeout: 5_000 })
    expect(first?.holder.current()?.fencingNumber).toBe(fencingNumber)
    expect(both.filter((contender) => contender.holder.current() !== undefined)).toHaveLength(1)
  })

  test('grants a released lease to another contender with a higher fencing number', async () => {
    const log = new MemoryLogService()
    const one = startContender(log, 'one')
    await vi.waitFor(() => expect(one.holder.current()).toBeDefined())
    const before = one.holder.require().fencingNumber
    const two = startContender(log, 'two')
    await one.end()
    expect(one.holder.current()).toBeUndefined()
    await vi.waitFor(() => expect(two.holder.current()).toBeDefined(), { timeout: 5_000 })
    expect(two.holder.require().fencingNumber).toBeGreaterThan(before)
  })

  test('never has two holders at once when the holder is disconnected from the log', async () => {
    const log = new MemoryLogService()
    const one = startContender(log, 'one')
    await vi.waitFor(() => expect(one.holder.current()).toBeDefined())
    const two = startContender(log, 'two')
    await vi.waitFor(() => expect(two.fold.get('orders')).toBeDefined())
    one.log.isDisconnected = true
    let stoppedAt = 0
    let wonAt = 0
    await vi.waitFor(() => {
      const isHolding = [one, two].map((contender) => contender.holder.current() !== undefined)
      expect(isHolding.every(Boolean)).toBe(false)
      if (isHolding[0] === false && stoppedAt === 0) stoppedAt = one.clock.now()
      if (isHolding[1] === true && wonAt === 0) wonAt = two.clock.now()
      expect(wonAt).toBeGreaterThan(0)
    }, { timeout: 5_000, interval: 2 })
    expect(stoppedAt).toBeLessThan(wonAt)
  })

  test('does not hold a lease that expired during a pause', async () => {
    const log = new MemoryLogService()
    const one = startContender(log, 'one')
    await vi.waitFor(() => expect(one.holder.current()).toBeDefined())
    one.log.isDisconnected = true
    one.clock.jump(DURATION_MS)
    expect(one.holder.current()).toBeUndefined()
    expect(() => one.holder.require()).toThrow('not held')
  })

  test('stops holding the lease while the log does not respond, and wins a new term afterwards', async () => {
    const log = new MemoryLogService()
    const one = startContender(log, 'one')
    await vi.waitFor(() => expect(one.holder.current()).toBeDefined())
    const before = one.holder.require()
    log.holdAppends = true
    await vi.waitFor(() => expect(one.holder.current()).toBeUndefined(), { timeout: 5_000, interval: 2 })
    log.releaseAppends()
    await vi.waitFor(() => expect(one.holder.current()).toBeDefined(), { timeout: 5_000 })
    expect(one.holder.require().fencingNumber).toBeGreaterThan(before.fencingNumber)
  })

  test('does not extend the lease by a renewal that had no effect because an earlier one arrived late', async () => {
    const clock = new JumpingClock()
    const fold = new LeaseFold()
    const sent: LogEntry[] = []
    const stops: Array<number | undefined> = []
    const applyAt = (entry: LogEntry | undefined, offset: number): void => {
      if (entry !== undefined) fold.apply(entry, { offset, writerId: 'one', sequence: offset, writtenAtMs: 0 })
    }
    const holder: LeaseHolder = new LeaseHolder({
      lease: 'orders',
      processId: 'one',
      replica: { started: true } as StreamReplica,
      fold,
      appender: {
        append: async (entry) => {
          stops.push(holder.current()?.stopsAt)
          sent.push(entry)
          if (sent.length === 2) throw new MimosarockError(ResultCode.LOG_UNAVAILABLE, 'no answer', { run: RunState.UNKNOWN })
          // Applies the second claim just before the third. Both supersede the first, which leaves the third without effect.
          if (sent.length === 3) applyAt(sent[1], 2)
          applyAt(entry, sent.length)
          return sent.length
        }
      },
      clock,
      eventLog: new SilentEventLog(),
      durationMs: DURATION_MS,
      stopMarginMs: 30,
      pauseAllowanceMs: PAUSE_ALLOWANCE_MS,
      isCandidate: () => true
    })
    const controller = new AbortController()
    controllers.push(controller)
    const running = holder.run(controller.signal)
    await vi.waitFor(() => expect(sent.length).toBeGreaterThanOrEqual(4))
    controller.abort()
    await running
    expect(fold.get('orders')?.fencingNumber).toBe(1n)
    expect(stops[3]).toBe(stops[1])
  })
})

describe('LeaseFold', () => {
  const holders = ['one/1', 'two/1', 'three/1']
  const step = fc.record({
    kind: fc.constantFrom('claim', 'claim', 'claim', 'release'),
    holder: fc.constantFrom(...holders),
    behind: fc.nat(3)
  })

  test('increases fencing numbers with each term, also after loading a checkpoint', () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), fc.nat(40), (steps, restoreIndex) => {
      const fold = new LeaseFold()
      let resumed = new LeaseFold()
      let lastHolder = ''
      let lastNumber = 0n
      let wasReleased = true
      fold.onChange((lease) => {
        const renewed = lease.holder === lastHolder && !wasReleased
        if (renewed || lease.released) expect(lease.fencingNumber).toBe(lastNumber)
        else expect(lease.fencingNumber).toBeGreaterThan(lastNumber)
        lastHolder = lease.holder
        lastNumber = lease.fencingNumber
        wasReleased = lease.released
      })
      steps.forEach(({ kind, holder, behind }, index) => {
        const known = fold.get('orders')
        const supersedesOffset = BigInt(Math.max(0, Number(known?.lastOffset ?? 0n) - Math.max(0, behind - 2)))
        const entry: LogEntry = kind === 'claim'
          ? create(LogEntrySchema, { kind: { case: 'leaseClaim', value: { lease: 'orders', holder, supersedesOffset, durationMs: 1 } } })
          : create(LogEntrySchema, { kind: { case: 'leaseRelease', value: { lease: 'orders', holder, fencingNumber: known?.fencingNumber ?? 0n } } })
        const position = { offset: index + 1, writerId: holder, sequence: index + 1, writtenAtMs: 0 }
        if (index === restoreIndex) {
          const copy = new LeaseFold()
          copy.decodeState(resumed.encodeState())
          resumed = copy
        }
        fold.apply(entry, position)
        resumed.apply(entry, position)
      })
      expect(Buffer.from(resumed.encodeState())).toEqual(Buffer.from(fold.encodeState()))
    }), { seed: SEED, numRuns: 200 })
  })
})
