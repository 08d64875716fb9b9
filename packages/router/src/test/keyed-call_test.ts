import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import type { Route } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, OperationState, RouteSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { MemoryFleet } from '../../../coordination/src/test/memory-fleet.js'
import type { KeyedResponse } from '../operations/keyed-response.js'
import { KeyedCall } from '../operations/keyed-call.js'
import type { KeyedRequest } from '../operations/keyed-request.js'

const LONGEST_PAUSE_MS = 60_000
const fleets: MemoryFleet[] = []
const route = create(RouteSchema, { name: 'pay', pool: 'gifts', deadlineMs: 5_000 })
const repeatRefusingRoute = create(RouteSchema, { name: 'pay', pool: 'gifts', deadlineMs: 5_000, endpointRefusesRepeats: true })
const receipt: KeyedResponse = { status: 201, headers: { 'content-type': 'text/plain' }, body: Buffer.from('paid') }
const neverAborted = new AbortController().signal

async function startFleet (routers: number): Promise<MemoryFleet> {
  const fleet = new MemoryFleet(routers, { intentTimeoutMs: 300, groupIntervalMs: 2, longestPauseMs: LONGEST_PAUSE_MS })
  fleets.push(fleet)
  for (let index = 0; index < routers; index += 1) {
    await vi.waitFor(() => expect(fleet.partitions(index).partitions[0]?.replica.started).toBe(true))
  }
  return fleet
}

function keyedCall (fleet: MemoryFleet, router: number): KeyedCall {
  return new KeyedCall({
    ledgerFor: (workspace, key) => fleet.partitions(router).ledgerFor(workspace, key),
    clock: fleet.clock(router),
    eventLog: new SilentEventLog(),
    keyWindowMs: 86_400_000,
    dispatchWindowMs: 1_000,
    minimumRemainingMs: 10,
    outcomeGraceMs: 1_000,
    inProgressWaitMs: 0,
    maximumStoredBodyBytes: 64
  })
}

function requestFor (fleet: MemoryFleet, router: number, key: string, changes: { route?: Route, body?: string, deadlineMs?: number } = {}): KeyedRequest {
  return {
    workspace: 'alpha',
    route: changes.route ?? route,
    key,
    keyTime: String(Date.now()),
    method: 'POST',
    path: '/payments',
    body: Buffer.from(changes.body ?? 'ring'),
    deadlineAt: fleet.clock(router).now() + (changes.deadlineMs ?? 5_000)
  }
}

async function codeOf (call: Promise<unknown>): Promise<string> {
  try {
    await call
    return 'answered'
  } catch (error) {
    if (!(error instanceof MimosarockError)) throw error
    return `${error.code} ${error.run}`
  }
}

const failure = (code: ResultCode, run: RunState): string => `${code} ${run}`

afterEach(() => {
  for (const fleet of fleets.splice(0)) fleet.stop()
})

describe('KeyedCall', () => {
  test('returns the same response to a second call through another router and dispatches once', async () => {
    const fleet = await startFleet(2)
    const key = randomUUID()
    let runs = 0
    const dispatch = async (): Promise<KeyedResponse> => {
      runs += 1
      return receipt
    }
    await keyedCall(fleet, 0).run(requestFor(fleet, 0, key), dispatch, neverAborted)
    const ledger = fleet.partitions(1).ledgerFor('alpha', key)
    await vi.waitFor(() => expect(ledger.get('alpha', key)?.state).toBe(OperationState.ANSWERED))
    const second = await keyedCall(fleet, 1).run(requestFor(fleet, 1, key), dispatch, neverAborted)
    expect({ ...second, body: Buffer.from(second.body).toString() }).toEqual({ status: 201, headers: { 'content-type': 'text/plain', 'idempotency-replayed': 'true' }, body: 'paid' })
    expect(runs).toBe(1)
    expect(await codeOf(keyedCall(fleet, 1).run(requestFor(fleet, 1, key, { body: 'vase' }), dispatch, neverAborted))).toBe(failure(ResultCode.KEY_REUSED, RunState.NOT_RUN))
  })

  test('dispatches once when all routers receive the same key concurrently', async () => {
    const fleet = await startFleet(4)
    const key = randomUUID()
    let runs = 0
    const results = await Promise.all([0, 1, 2, 3].map(async (router) => await codeOf(keyedCall(fleet, router).run(requestFor(fleet, router, key), async () => {
      runs += 1
      return receipt
    }, neverAborted))))
    expect(runs).toBe(1)
    expect(results).toContain('answered')
  })

  test('does not dispatch after a pause between sending the intent and reading it back, and reopens the key', async () => {
    const fleet = await startFleet(1)
    const key = randomUUID()
    fleet.logService.holdAppends = true
    let runs = 0
    const dispatch = async (): Promise<KeyedResponse> => {
      runs += 1
      return receipt
    }
    const paused = codeOf(keyedCall(fleet, 0).run(requestFor(fleet, 0, key, { deadlineMs: 90_000 }), dispatch, neverAborted))
    await vi.waitFor(() => expect(fleet.logService.appends).toBe(1))
    fleet.clock(0).jump(30_000)
    fleet.logService.releaseAppends()
    expect(await paused).toBe(failure(ResultCode.LEDGER_UNAVAILABLE, RunState.NOT_RUN))
    expect(runs).toBe(0)
    const ledger = fleet.partitions(0).ledgerFor('alpha', key)
    await vi.waitFor(() => expect(ledger.get('alpha', key)?.state).toBe(OperationState.NOT_RUN))
  })

  test('does not dispatch when the key was settled and run through another router during a pause', async () => {
    const fleet = await startFleet(2)
    const key = randomUUID()
    const runs: string[] = []
    const first = fleet.partitions(0).ledgerFor('alpha', key)
    const other = fleet.partitions(1).ledgerFor('alpha', key)
    // Router 0 reads back that it won the key and is then paused: its await of `begin` resolves only after the pause.
    const begin = first.begin.bind(first)
    let resume = (): void => {}
    const pause = new Promise<void>((resolve) => { resume = resolve })
    first.begin = async (attempt) => {
      const result = await begin(attempt)
      await pause
      return result
    }
    const paused = codeOf(keyedCall(fleet, 0).run(requestFor(fleet, 0, key, { deadlineMs: 300_000 }), async () => {
      runs.push('router-0')
      return receipt
    }, neverAborted))
    await vi.waitFor(() => expect(other.get('alpha', key)?.state).toBe(OperationState.IN_PROGRESS))
    const operation = other.list('alpha', OperationState.IN_PROGRESS, 1)[0]
    if (operation === undefined) throw new Error('not listed')
    for (const router of [0, 1]) fleet.clock(router).jump(LONGEST_PAUSE_MS)
    await other.settle(operation, OperationState.NOT_RUN, create(ActorSchema, { name: 'operator' }), 'not in the books')
    await vi.waitFor(async () => {
      expect(await codeOf(keyedCall(fleet, 1).run(requestFor(fleet, 1, key), async () => {
        runs.push('router-1')
        return receipt
      }, neverAborted))).toBe('answered')
    }, { timeout: 10_000, interval: 100 })
    resume()
    expect(await paused).toBe(failure(ResultCode.LEDGER_UNAVAILABLE, RunState.NOT_RUN))
    expect(runs).toEqual(['router-1'])
  })

  test('rejects calls as not run while the log is down, but dispatches them if the endpoint refuses repeats itself', async () => {
    const fleet = await startFleet(1)
    fleet.logService.appendsDown = true
    let runs = 0
    const dispatch = async (): Promise<KeyedResponse> => {
      runs += 1
      return receipt
    }
    const call = keyedCall(fleet, 0)
    expect(await codeOf(call.run(requestFor(fleet, 0, randomUUID()), dispatch, neverAborted))).toBe(failure(ResultCode.LEDGER_UNAVAILABLE, RunState.NOT_RUN))
    expect(runs).toBe(0)
    const key = randomUUID()
    expect(await codeOf(call.run(requestFor(fleet, 0, key, { route: repeatRefusingRoute }), dispatch, neverAborted))).toBe('answered')
    expect(runs).toBe(1)
    fleet.logService.appendsDown = false
    const ledger = fleet.partitions(0).ledgerFor('alpha', key)
    await vi.waitFor(() => expect(ledger.unrecordedCount).toBe(0), { timeout: 5_000 })
  })

  test('ends the wait when the caller disconnects and records the later outcome of the dispatch', async () => {
    const fleet = await startFleet(1)
    const key = randomUUID()
    const callerAbort = new AbortController()
    let respond: (response: KeyedResponse) => void = () => {}
    const running = codeOf(keyedCall(fleet, 0).run(requestFor(fleet, 0, key), async () => await new Promise((resolve) => { respond = resolve }), callerAbort.signal))
    const ledger = fleet.partitions(0).ledgerFor('alpha', key)
    await vi.waitFor(() => expect(ledger.get('alpha', key)?.state).toBe(OperationState.IN_PROGRESS))
    callerAbort.abort()
    expect(await running).toBe(failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN))
    respond(receipt)
    await vi.waitFor(() => expect(ledger.get('alpha', key)?.state).toBe(OperationState.ANSWERED))
  })

  const failures: ReadonlyArray<{ name: string, error: Error, expected: string, expectedOnRetry: string }> = [
    {
      name: 'run state not-run',
      error: new MimosarockError(ResultCode.ENDPOINT_FAILED, 'refused'),
      expected: failure(ResultCode.ENDPOINT_FAILED, RunState.NOT_RUN),
      expectedOnRetry: 'answered'
    },
    {
      name: 'run state unknown',
      error: new MimosarockError(ResultCode.ENDPOINT_SILENT, 'silent', { run: RunState.UNKNOWN }),
      expected: failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN),
      expectedOnRetry: failure(ResultCode.OPERATION_IN_DOUBT, RunState.UNKNOWN)
    },
    {
      name: 'an error of another class',
      error: new TypeError('broken'),
      expected: failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN),
      expectedOnRetry: failure(ResultCode.OPERATION_IN_DOUBT, RunState.UNKNOWN)
    }
  ]

  test.each(failures)('handles a dispatch that fails with $name', async ({ error, expected, expectedOnRetry }) => {
    const fleet = await startFleet(1)
    const key = randomUUID()
    const call = keyedCall(fleet, 0)
    expect(await codeOf(call.run(requestFor(fleet, 0, key), async () => { throw error }, neverAborted))).toBe(expected)
    const ledger = fleet.partitions(0).ledgerFor('alpha', key)
    await vi.waitFor(() => expect(ledger.get('alpha', key)?.state).not.toBe(OperationState.IN_PROGRESS))
    expect(await codeOf(call.run(requestFor(fleet, 0, key), async () => receipt, neverAborted))).toBe(expectedOnRetry)
  })

  const keys: ReadonlyArray<{ name: string, key: string | undefined, keyTime: string | undefined, expected: string }> = [
    { name: 'missing', key: undefined, keyTime: undefined, expected: failure(ResultCode.KEY_MISSING, RunState.NOT_RUN) },
    { name: 'not a UUID', key: 'order-17', keyTime: '1', expected: failure(ResultCode.KEY_INVALID, RunState.NOT_RUN) },
    { name: 'a UUID without a time', key: randomUUID(), keyTime: undefined, expected: failure(ResultCode.KEY_INVALID, RunState.NOT_RUN) },
    { name: 'too old', key: randomUUID(), keyTime: '1000', expected: failure(ResultCode.KEY_TOO_OLD, RunState.NOT_RUN) },
    { name: 'a UUIDv7 that is too old', key: '017f22e2-79b0-7cc3-98c4-dc0c0c07398f', keyTime: undefined, expected: failure(ResultCode.KEY_TOO_OLD, RunState.NOT_RUN) },
    { name: 'in the future', key: randomUUID(), keyTime: String(Date.now() + 3_600_000), expected: failure(ResultCode.KEY_IN_FUTURE, RunState.NOT_RUN) }
  ]

  test.each(keys)('rejects an invalid key: $name', async ({ key, keyTime, expected }) => {
    const fleet = await startFleet(1)
    const request = { ...requestFor(fleet, 0, ''), key, keyTime }
    expect(await codeOf(keyedCall(fleet, 0).run(request, async () => receipt, neverAborted))).toBe(expected)
  })

  test('reports ANSWER_NOT_KEPT when the call ran but its response was too large to be stored', async () => {
    const fleet = await startFleet(1)
    const key = randomUUID()
    const call = keyedCall(fleet, 0)
    const large = { ...receipt, body: Buffer.alloc(65) }
    await call.run(requestFor(fleet, 0, key), async () => large, neverAborted)
    const ledger = fleet.partitions(0).ledgerFor('alpha', key)
    await vi.waitFor(() => expect(ledger.get('alpha', key)?.state).toBe(OperationState.ANSWERED))
    expect(await codeOf(call.run(requestFor(fleet, 0, key), async () => receipt, neverAborted))).toBe(failure(ResultCode.ANSWER_NOT_KEPT, RunState.RAN))
  })
})
