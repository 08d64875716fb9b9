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
const ended: AbortController[] = []
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
  for (const controller of ended.splice(0)) controller.abort()
  for (const fleet of fleets.splice(0)) fleet.stop()
})

interface Case {
  readonly name: string
  readonly route: string
  /** Runs that each endpoint tells; undefined if it does not answer. */
  readonly runs: Readonly<Record<string, number | undefined>>
  readonly passedMs: number
  readonly ends: OperationState
}

const cases: readonly Case[] = [
  { name: 'one endpoint knows of the run', route: 'pay', runs: { a: 0, b: 1 }, passedMs: 0, ends: OperationState.ANSWERED },
  { name: 'one knows of the run, the other is silent', route: 'pay', runs: { a: undefined, b: 1 }, passedMs: 0, ends: OperationState.ANSWERED },
  { name: 'none knows of a run, too early', route: 'pay', runs: { a: 0, b: 0 }, passedMs: LONGEST_PAUSE_MS - 10_000, ends: OperationState.IN_DOUBT },
  { name: 'none knows of a run, late enough', route: 'pay', runs: { a: 0, b: 0 }, passedMs: LONGEST_PAUSE_MS + DEADLINE_MS, ends: OperationState.NOT_RUN },
  { name: 'one does not answer', route: 'pay', runs: { a: 0, b: undefined }, passedMs: LONGEST_PAUSE_MS + DEADLINE_MS, ends: OperationState.IN_DOUBT },
  { name: 'the route has no status call', route: 'reserve', runs: { a: 1, b: 1 }, passedMs: LONGEST_PAUSE_MS + DEADLINE_MS, ends: OperationState.IN_DOUBT }
]

describe('StatusSettler', () => {
  test.each(cases)('$name', async ({ route, runs, passedMs, ends }) => {
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
    fleet.clock(0).jump(passedMs)
    const asked: string[] = []
    const audited: string[] = []
    const writers = new LedgerWriters(fleet.membership('router-0'))
    const passes = vi.spyOn(writers, 'first')
    const settler = new StatusSettler({
      partitions,
      writers,
      configuration,
      statusCall: {
        runsAt: async (address, path) => {
          asked.push(path)
          const told = runs[address]
          if (told === undefined) throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'silent')
          return told
        }
      },
      auditTrail: { note: (entry) => audited.push(`${entry.action} ${entry.before}`) },
      clock: fleet.clock(0),
      eventLog: new SilentEventLog(),
      routerId: 'router-0'
    })
    const controller = new AbortController()
    ended.push(controller)
    const running = settler.run(controller.signal)
    await vi.waitFor(() => expect(passes.mock.calls.length > 2 || audited.length > 0).toBe(true), { timeout: 5_000 })
    expect(asked.length > 0).toBe(route === 'pay')
    if (ends !== OperationState.IN_DOUBT) await vi.waitFor(() => expect(audited).toEqual(['operation.settle IN_DOUBT']))
    controller.abort()
    await running
    const administration = new LedgerAdministration({ partitions, configuration })
    expect(administration.get('alpha', key)?.state).toBe(ends)
    const listed = administration.list('alpha', OperationState.UNSPECIFIED, 10).map((operation) => operation.key)
    expect(listed).toEqual(ends === OperationState.IN_DOUBT ? [key] : [])
    expect(asked.every((path) => path === `/v1/runs/${key}`)).toBe(true)
  })
})
