import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { ConfigurationInForce } from '@mimosarock/gateway/configuration/configuration-in-force.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import { RouterTable } from '@mimosarock/gateway/membership/router-table.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { fitSlope } from '../capacity/fit-slope.js'
import { heldBytes } from '../capacity/held-bytes.js'
import { measureProcessorUs } from '../capacity/measure-processor-us.js'
import type { Slope } from '../capacity/slope.js'

const POOL_SIZES = [13, 26, 52, 104, 196]
const ENDPOINT_COUNTS = [640, 1_280, 2_560, 5_100]
const KEY_COUNTS = [10_000, 20_000, 40_000, 80_000]
const WORKSPACE_COUNTS = [2_375, 4_750, 9_500, 19_000]
const KEYS_PER_WORKSPACE = 2
const DECISIONS = 2_000
const ANSWERS = 50
const TRIES = 3
const SERVICES = 26

const clock = { now: () => performance.now() }

/** Slopes of the router with one hop, from the classes that it runs. */
export function measureGateway (): Record<string, Slope> {
  return {
    decision_us: fitSlope('microseconds a decision for each endpoint of the service', POOL_SIZES.map((size) => [size, decisionUs(size)] as const)),
    holder_key_bytes: fitSlope('bytes for each key with a holder', KEY_COUNTS.map((count) => [count, heldBytes(() => holdersOf(count))] as const)),
    workspace_bytes: fitSlope('bytes for each workspace with two keys', WORKSPACE_COUNTS.map((count) => [count, heldBytes(() => configurationOf(count))] as const)),
    endpoint_bytes: fitSlope('bytes for each endpoint', ENDPOINT_COUNTS.map((count) => [count, heldBytes(() => knowledgeOf(count, 1).endpoints)] as const)),
    sync_answer_us: fitSlope('microseconds of an answer to another router for each endpoint in use', ENDPOINT_COUNTS.map((count) => [count, syncAnswer(count).microseconds] as const)),
    sync_answer_bytes: fitSlope('bytes of an answer to another router for each endpoint in use', ENDPOINT_COUNTS.map((count) => [count, syncAnswer(count).bytes] as const))
  }
}

function knowledgeOf (endpoints: number, services: number): FleetState {
  const log = new SilentEventLog()
  const table = new EndpointTable(clock, log)
  table.apply(Array.from({ length: endpoints }, (_, index) => ({
    key: `engine-${index}`,
    value: {
      id: `engine-${index}`,
      service: `service-${index % services}`,
      address: `10.0.${index >> 8}.${index & 255}:8000`,
      availabilityZone: `zone-${index % 28}`,
      slots: 64,
      isDraining: false,
      startedAt: 1
    }
  })), undefined)
  return {
    configuration: new ConfigurationState(clock, log),
    endpoints: table,
    endpointsFreshness: { verifiedAt: clock.now() },
    routers: new RouterTable({ name: 'self', availabilityZone: 'z', address: 'self' }, clock),
    holders: new HolderTable(),
    loads: new LoadView(() => clock.now())
  }
}

function decisionUs (size: number): number {
  const { endpoints, loads, holders } = knowledgeOf(size, 1)
  const choice = new EndpointSelector({
    endpoints, loads, holders, health: new EndpointHealth(clock), availabilityZone: 'zone-0', loadBoundFactor: () => 2, isFleetLarge: () => true
  })
  const none = new Set<string>()
  return measureProcessorUs(() => {
    for (let index = 0; index < DECISIONS; index += 1) {
      choice.choose('service-0', [{ id: index.toString(16).padStart(16, '0'), tokens: 9_000 }, { id: 'own', tokens: 100 }], none)
    }
  }, TRIES) / DECISIONS
}

function holdersOf (count: number): HolderTable {
  const holders = new HolderTable()
  for (let index = 0; index < count; index += 1) holders.learn(`key${index.toString(16).padStart(13, '0')}`, `engine-${index % 5_100}`)
  return holders
}

function configurationOf (workspaces: number): ConfigurationInForce {
  return new ConfigurationInForce({
    version: 1,
    routes: [],
    services: [],
    limits: undefined,
    workspaces: Array.from({ length: workspaces }, (_, index) => ({
      name: `workspace-${index}`,
      apiKeys: Array.from({ length: KEYS_PER_WORKSPACE }, (_, key) => `key-${index}-${key}-abcdefghijkl`),
      priority: 1
    }))
  })
}

function syncAnswer (endpoints: number): { microseconds: number, bytes: number } {
  const knowledge = knowledgeOf(endpoints, SERVICES)
  for (let index = 0; index < endpoints; index += 1) knowledge.loads.begin(`engine-${index}`)
  const server = new SyncServer(knowledge, 'instance', () => clock.now(), () => 0)
  const answer = (): string => JSON.stringify(server.answer({
    router: { name: 'other', availabilityZone: 'z', address: 'other' },
    routers: undefined,
    configurationVersion: 0,
    endpointsRevision: `instance:${knowledge.endpoints.revision}`,
    load: {},
    notes: [],
    notesCursor: 'instance:0'
  }))
  const microseconds = measureProcessorUs(() => { for (let index = 0; index < ANSWERS; index += 1) answer() }, TRIES) / ANSWERS
  return { microseconds, bytes: answer().length }
}
