import { create, toBinary } from '@bufbuild/protobuf'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import { LedgerFold } from '@mimosarock/coordination/ledger/ledger-fold.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { StreamReplica } from '@mimosarock/coordination/stream-replica.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import { ConfigurationSchema, LogRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'
import { fitSlope } from './fit-slope.js'
import { retainedBytes } from './retained-bytes.js'
import { measureShortestUs } from './measure-shortest-us.js'
import type { Slope } from './slope.js'

const ENDPOINTS = 5_100
const WORKSPACE_COUNTS = [2_375, 4_750, 9_500, 19_000]
const RECORD_COUNTS = [2_000, 4_000, 8_000, 16_000]
const CHAT_COUNTS = [10_000, 20_000, 40_000, 80_000]
const POOL_SIZES = [13, 26, 52, 104, 196]
const DECISIONS = 2_000
const CANDIDATES = 8
const REPETITIONS = 3
const DAY_MS = 86_400_000

/** Measures the memory of state and the time of decisions, on the same classes that a router uses. */
export function measureState (): Record<string, Slope> {
  return {
    ledger_record_us: fitSlope('microseconds for each intent with its outcome', RECORD_COUNTS.map((count) => {
      const records = createLedgerRecords(count)
      return [count, measureShortestUs(() => { foldLedger(records) }, REPETITIONS)] as const
    })),
    ledger_key_bytes: fitSlope('bytes for each key', RECORD_COUNTS.map((count) => {
      const records = createLedgerRecords(count)
      return [count, retainedBytes(() => foldLedger(records))] as const
    })),
    displaced_chat_bytes: fitSlope('bytes for each displaced chat', CHAT_COUNTS.map((count) => [count, retainedBytes(() => createDisplacedChats(count))] as const)),
    placement_decision_us: fitSlope('microseconds a decision for each endpoint of the pool', POOL_SIZES.map((size) => [size, measureDecisionUs(size)] as const)),
    workspace_bytes: fitSlope('bytes for each workspace, with 5,100 endpoints', WORKSPACE_COUNTS.map((count) => [count, retainedBytes(() => createConfigurationIndex(count))] as const)),
    workspace_encoded_bytes: fitSlope('encoded bytes for each workspace', WORKSPACE_COUNTS.map((count) => [count, toBinary(ConfigurationSchema, createConfigurationIndex(count).configuration).length] as const)),
    configuration_index_ms: fitSlope('milliseconds to index for each workspace', WORKSPACE_COUNTS.map((count) => {
      const { configuration } = createConfigurationIndex(count)
      return [count, measureShortestUs(() => { new ConfigurationIndex(configuration, 1, 1).isRetired('', '') }, REPETITIONS) / 1_000] as const
    }))
  }
}

function createLedgerRecords (count: number): Uint8Array[] {
  const now = Date.now()
  return Array.from({ length: count }, (_, index) => {
    const hexadecimal = (now - (index % DAY_MS)).toString(16).padStart(12, '0')
    const key = `${hexadecimal.slice(0, 8)}-${hexadecimal.slice(8)}-7000-8000-${index.toString(16).padStart(12, '0')}`
    const base = { key, workspace: `workspace-${index % 100}`, attemptId: `attempt-${index}` }
    return toBinary(LogRecordSchema, create(LogRecordSchema, {
      writerId: `w${index % 32}`,
      sequence: BigInt(index + 1),
      writtenAtMs: BigInt(now),
      entries: [
        { kind: { case: 'operationIntent', value: { ...base, route: 'payments', routerId: `w${index % 32}`, requestDigest: new Uint8Array(32) } } },
        { kind: { case: 'operationOutcome', value: { ...base, state: 2, answer: { status: 200, contentType: 'application/json', body: new Uint8Array(200) } } } }
      ]
    }))
  })
}

function foldLedger (records: readonly Uint8Array[]): LedgerFold {
  const fold = new LedgerFold()
  const replica = new StreamReplica({
    stream: 'operations-0', fold, logService: new LogServiceStandIn(), clock: new SystemClock(), eventLog: new SilentEventLog(), longPollMs: 0, slowPollMs: 0, readTimeoutMs: 0
  })
  replica.adopt({ coversOffset: 0, state: new Uint8Array(0) })
  const applied = replica.offer(records.map((data, index) => ({ offset: index + 1, previousOffset: index, data })))
  if (applied !== records.length || fold.size !== records.length) throw new Error(`only ${fold.size} of ${records.length} operations were applied`)
  return fold
}

function createDisplacedChats (count: number): DisplacedChats {
  const chats = new DisplacedChats(count, DAY_MS, new SystemClock())
  for (let index = 0; index < count; index += 1) chats.record(`chat/${index.toString(16).padStart(16, '0')}`, `engine-${index % ENDPOINTS}`)
  return chats
}

function measureDecisionUs (size: number): number {
  const order = new RendezvousOrder(Array.from({ length: size }, (_, index) => ({ name: `engine-${index}`, availabilityZone: 'a', capacity: 16 })))
  return measureShortestUs(() => {
    for (let index = 0; index < DECISIONS; index += 1) order.first(index.toString(16).padStart(16, '0'), CANDIDATES)
  }, REPETITIONS) / DECISIONS
}

function createConfigurationIndex (workspaces: number): ConfigurationIndex {
  return new ConfigurationIndex(create(ConfigurationSchema, {
    workspaces: Array.from({ length: workspaces }, (_, index) => ({ name: `workspace-${index}`, requestsPerSecond: 50, concurrency: 100, priority: 5, models: ['m1', 'm2'] })),
    pools: Array.from({ length: 26 }, (_, pool) => ({
      name: `pool-${pool}`,
      endpoints: Array.from({ length: Math.ceil(ENDPOINTS / 26) }, (_, index) => ({ name: `engine-${pool}-${index}`, address: `10.${pool}.0.${index}:8000`, availabilityZone: `zone-${index % 28}`, capacity: 64 }))
    })),
    routes: Array.from({ length: 26 }, (_, index) => ({ name: `route-${index}`, model: `m${index}`, pool: `pool-${index}`, repeatable: true, deadlineMs: 60_000 }))
  }), 1, 1)
}
