import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { ActorSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { BeginOutcome } from '../ledger/begin-outcome.js'
import type { OperationAttempt } from '../ledger/operation-attempt.js'
import type { OperationLedger } from '../ledger/operation-ledger.js'
import { MemoryFleet } from './memory-fleet.js'

const fleets: MemoryFleet[] = []
const settings = { intentTimeoutMs: 400, groupIntervalMs: 2, longestPauseMs: 60_000 }

async function startFleet (routers: number, views?: ReadonlyArray<readonly number[]>): Promise<MemoryFleet> {
  const fleet = new MemoryFleet(routers, { ...settings, views })
  fleets.push(fleet)
  for (let index = 0; index < routers; index += 1) {
    await vi.waitFor(() => expect(fleet.partitions(index).partitions[0]?.replica.started).toBe(true))
  }
  return fleet
}

function createAttempt (key: string, body = 1): OperationAttempt {
  return { attemptId: randomUUID(), key, keyTimeMs: Date.now(), workspace: 'alpha', route: 'pay', requestDigest: new Uint8Array([body]) }
}

function ledgerOf (fleet: MemoryFleet, router: number): OperationLedger {
  return fleet.partitions(router).ledgerFor('alpha', 'key')
}

const operator = create(ActorSchema, { name: 'operator' })

afterEach(() => {
  for (const fleet of fleets.splice(0)) fleet.stop()
})

describe('OperationLedger', () => {
  test('lets exactly one of several concurrent routers win', async () => {
    const fleet = await startFleet(5)
    const results = await Promise.all([0, 1, 2, 3, 4].map(async (router) => await ledgerOf(fleet, router).begin(createAttempt('key'))))
    const outcomes = results.map((result) => result.outcome)
    expect(outcomes.filter((outcome) => outcome === BeginOutcome.WON)).toHaveLength(1)
    expect(outcomes.filter((outcome) => outcome === BeginOutcome.IN_PROGRESS)).toHaveLength(4)
  })

  test('does not wait for an outcome that is known already', async () => {
    const fleet = await startFleet(1)
    const ledger = ledgerOf(fleet, 0)
    const attempt = createAttempt('key')
    await ledger.begin(attempt)
    ledger.abandon(attempt)
    await vi.waitFor(() => expect(ledger.get('alpha', 'key')?.state).toBe(OperationState.NOT_RUN))
    const waited = ledger.waitForOutcome('alpha', 'key', 60_000, new AbortController().signal)
    expect((await waited)?.state).toBe(OperationState.NOT_RUN)
  })

  test('lets exactly one router win while each considers itself the writer', async () => {
    const fleet = await startFleet(3, [[0], [1], [2]])
    const results = await Promise.all([0, 1, 2].map(async (router) => await ledgerOf(fleet, router).begin(createAttempt('key'))))
    expect(results.filter((result) => result.outcome === BeginOutcome.WON)).toHaveLength(1)
    expect(fleet.peerCalls).toBe(0)
  })

  test('appends through one writer, and directly while no writer can be reached', async () => {
    const fleet = await startFleet(4)
    await Promise.all(Array.from({ length: 200 }, async (_, index) => await ledgerOf(fleet, index % 4).begin(createAttempt(`key-${index}`))))
    const forwardedAppends = fleet.logService.appends
    expect(forwardedAppends).toBeLessThan(40)
    for (let index = 0; index < 4; index += 1) fleet.unreachable.add(`router-${index}`)
    const results = await Promise.all([0, 1, 2, 3].map(async (router) => await ledgerOf(fleet, router).begin(createAttempt(`late-${router}`))))
    expect(results.every((result) => result.outcome === BeginOutcome.WON)).toBe(true)
  })

  test('lets an attempt win although responses to the appends of its intent are lost', async () => {
    const fleet = await startFleet(1)
    fleet.logService.lostResponses = 3
    const result = await ledgerOf(fleet, 0).begin(createAttempt('key'))
    expect(result.outcome).toBe(BeginOutcome.WON)
  })

  test('reopens a key whose abandoned intent took effect late', async () => {
    const fleet = await startFleet(1)
    const ledger = ledgerOf(fleet, 0)
    fleet.logService.holdAppends = true
    const first = createAttempt('key')
    await expect(ledger.begin(first)).rejects.toMatchObject({ code: ResultCode.LEDGER_UNAVAILABLE, run: RunState.UNKNOWN })
    ledger.abandon(first)
    fleet.logService.releaseAppends()
    await vi.waitFor(() => expect(ledger.unrecordedCount).toBe(0))
    await vi.waitFor(() => expect(ledger.get('alpha', 'key')?.state ?? OperationState.NOT_RUN).toBe(OperationState.NOT_RUN))
    expect((await ledger.begin(createAttempt('key'))).outcome).toBe(BeginOutcome.WON)
  })

  test('reopens a key that an abandoned intent wins through a late writer, after its outcome was applied', async () => {
    const fleet = await startFleet(2)
    const abandoned = createAttempt('key')
    const ledger = ledgerOf(fleet, 0)
    ledger.abandon(abandoned)
    await vi.waitFor(() => expect(ledger.unrecordedCount).toBe(0))
    // The other router appends the intent that it received earlier.
    await ledgerOf(fleet, 1).begin(abandoned)
    await vi.waitFor(() => expect(ledger.get('alpha', 'key')?.state).toBe(OperationState.NOT_RUN))
  })

  test('rejects at once while another attempt is probing a log whose appends fail', async () => {
    const fleet = await startFleet(1)
    const ledger = ledgerOf(fleet, 0)
    fleet.logService.appendsDown = true
    await expect(ledger.begin(createAttempt('first'))).rejects.toMatchObject({ code: ResultCode.LEDGER_UNAVAILABLE })
    const appendsBefore = fleet.logService.appends
    const probe = ledger.begin(createAttempt('probe')).catch(() => {})
    await expect(ledger.begin(createAttempt('second'))).rejects.toMatchObject({ code: ResultCode.LEDGER_UNAVAILABLE, run: RunState.NOT_RUN, retryAfterMs: 1_000 })
    await probe
    fleet.logService.appendsDown = false
    expect((await ledger.begin(createAttempt('third'))).outcome).toBe(BeginOutcome.WON)
    expect(fleet.logService.appends).toBeGreaterThan(appendsBefore)
  })

  test('rejects at once when the replica is stale', async () => {
    const fleet = await startFleet(1)
    fleet.logService.readsDown = true
    fleet.clock(0).jump(60_000)
    await expect(ledgerOf(fleet, 0).begin(createAttempt('key'))).rejects.toMatchObject({ code: ResultCode.LEDGER_UNAVAILABLE, run: RunState.NOT_RUN })
  })

  test('rejects a settlement as not run while a paused router may still run the operation', async () => {
    const fleet = await startFleet(2)
    await ledgerOf(fleet, 0).begin(createAttempt('key'))
    const other = ledgerOf(fleet, 1)
    await vi.waitFor(() => expect(other.get('alpha', 'key')).toBeDefined())
    const operation = other.list('', OperationState.UNSPECIFIED, 10)[0]
    if (operation === undefined) throw new Error('not listed')
    await expect(other.settle(operation, OperationState.NOT_RUN, operator, 'checked')).rejects.toMatchObject({ code: ResultCode.SETTLEMENT_REFUSED })
    fleet.clock(1).jump(60_000)
    await other.settle(operation, OperationState.NOT_RUN, operator, 'checked')
    expect((await ledgerOf(fleet, 0).begin(createAttempt('key'))).outcome).toBe(BeginOutcome.WON)
  })

  test('applies the first of a settlement and an outcome on every router', async () => {
    const fleet = await startFleet(2)
    const attempt = createAttempt('key')
    await ledgerOf(fleet, 0).begin(attempt)
    const other = ledgerOf(fleet, 1)
    await vi.waitFor(() => expect(other.get('alpha', 'key')).toBeDefined())
    const operation = other.list('', OperationState.UNSPECIFIED, 10)[0]
    if (operation === undefined) throw new Error('not listed')
    fleet.clock(1).jump(60_000)
    ledgerOf(fleet, 0).recordOutcome(attempt, OperationState.IN_DOUBT)
    const settled = await other.settle(operation, OperationState.ANSWERED, operator, 'seen at the bank').then(() => true, () => false)
    await vi.waitFor(() => expect(ledgerOf(fleet, 0).unrecordedCount).toBe(0))
    await vi.waitFor(() => expect(ledgerOf(fleet, 0).get('alpha', 'key')?.state).toBe(other.get('alpha', 'key')?.state))
    expect(other.get('alpha', 'key')?.state).toBe(settled ? OperationState.ANSWERED : OperationState.IN_DOUBT)
  })
})
