import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import { LedgerWriters } from '@mimosarock/coordination/ledger/ledger-writers.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { MemoryFleet } from '../../../coordination/src/test/memory-fleet.js'
import { LedgerAdministration } from '../operations/ledger-administration.js'
import { StatusSettler } from '../operations/status-settler.js'

const DEADLINE_MS = 1_000
const LONGEST_PAUSE_MS = 60_000
const abortControllers: AbortController[] = []
const fleets: MemoryFleet[] = []
const configuration = {
  current: () => new ConfigurationIndex(create(ConfigurationSchema, {
    pools: [{ name: 'gifts', endpoints: [{ name: 'a', address: 'a' }, { name: 'b', address: 'b' }] }],
    routes: [
      { name: 'pay', pool: 'gifts', deadlineMs: DEADLINE_MS, statusPath: '/v1/runs/{key}' },
      { name: 'reserve', pool: 'gifts', deadlineMs: DEADLINE_MS }
    ]
  }), 1, 1),
  onChange: () => () => {}
}

afterEach(() => {
  for (const controller of abortControllers.splice(0)) controller.abort()
  for (const fleet of fleets.splice(0)) fleet.stop()
})

interface Case {
  readonly name: string
  readonly route: string
  /** Number of runs that each endpoint reports; undefined if the endpoint does not respond. */
  readonly runs: Readonly<Record<string, number | undefined>>
  readonly elapsedMs: number
  readonly expectedState: OperationState
}

const cases: readonly Case[] = [
  { name: 'one endpoint reports a run', route: 'pay', runs: { a: 0, b: 1 }, elapsedMs: 0, expectedState: OperationState.ANSWERED },
  { name: 'one reports a run, one is unreachable', route: 'pay', runs: { a: undefined, b: 1 }, elapsedMs: 0, expectedState: OperationState.ANSWERED },
  { name: 'no run, longest pause not over', route: 'pay', runs: { a: 0, b: 0 }, elapsedMs: LONGEST_PAUSE_MS - 10_000, expectedState: OperationState.IN_DOUBT },
  { name: 'no run, longest pause over', route: 'pay', runs: { a: 0, b: 0 }, elapsedMs: LONGEST_PAUSE_MS + DEADLINE_MS, expectedState: OperationState.NOT_RUN },
  { name: 'one endpoint does not respond', route: 'pay', runs: { a: 0, b: undefined }, elapsedMs: LONGEST_PAUSE_MS + DEADLINE_MS, expectedState: OperationState.IN_DOUBT },
  { name: 'the route has no status call', route: 'reserve', runs: { a: 1, b: 1 }, elapsedMs: LONGEST_PAUSE_MS + DEADLINE_MS, expectedState: OperationState.IN_DOUBT }
]

describe('StatusSettler', () => {
  test.each(cases)('settles or leaves in doubt: $name', async ({ route, runs, elapsedMs, expectedState }) => {
    const fleet = new MemoryFleet(1, { intentTimeoutMs: 300, groupIntervalMs: 2, longestPauseMs: LONGEST_PAUSE_MS })
    fleets.push(fleet)
    const partitions = fleet.partitions(0)
    await vi.waitFor(() => expect(partitions.partitions[0]?.replica.started).toBe(true))
    const key = randomUUID()
    const ledger = partitions.ledgerFor('alpha', key)
    const attempt = { attemptId: randomUUID(), key, keyTimeMs: Date.now(), workspace: 'alpha', route, requestDigest: new Uint8Array([1]) }
    await ledger.begin(attempt)
    ledger.recordOutcome(attempt, OperationState.IN_DOUBT)
    await vi.waitFor(() => expect(ledger.unrecordedCount).toBe(0))
    fleet.clock(0).jump(elapsedMs)
    const requestedPaths: string[] = []
    const audited: string[] = []
    const writers = new LedgerWriters(fleet.membership('router-0'))
    const passes = vi.spyOn(writers, 'first')
    const settler = new StatusSettler({
      partitions,
      writers,
      configuration,
      statusCall: {
        readRunCount: async (address, path) => {
          requestedPaths.push(path)
          const count = runs[address]
          if (count === undefined) throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'no response')
          return count
        }
      },
      auditTrail: { record: (entry) => audited.push(`${entry.action} ${entry.before}`) },
      clock: fleet.clock(0),
      eventLog: new SilentEventLog(),
      routerId: 'router-0'
    })
    const controller = new AbortController()
    abortControllers.push(controller)
    const running = settler.run(controller.signal)
    await vi.waitFor(() => expect(passes.mock.calls.length > 2 || audited.length > 0).toBe(true), { timeout: 5_000 })
    expect(requestedPaths.length > 0).toBe(route === 'pay')
    if (expectedState !== OperationState.IN_DOUBT) await vi.waitFor(() => expect(audited).toEqual(['operation.settle IN_DOUBT']))
    controller.abort()
    await running
    const administration = new LedgerAdministration({ partitions, configuration })
    expect(administration.get('alpha', key)?.state).toBe(expectedState)
    const listed = administration.list('alpha', OperationState.UNSPECIFIED, 10).map((operation) => operation.key)
    expect(listed).toEqual(expectedState === OperationState.IN_DOUBT ? [key] : [])
    expect(requestedPaths.every((path) => path === `/v1/runs/${key}`)).toBe(true)
  })
})
