import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { ConfigurationInForce } from '@mimosarock/gateway/configuration/configuration-in-force.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { fitSlope } from '../capacity/fit-slope.js'
import { retainedBytes } from '../capacity/retained-bytes.js'
import { measureShortestUs } from '../capacity/measure-shortest-us.js'
import type { Slope } from '../capacity/slope.js'
import { createFleetState } from './create-fleet-state.js'

const POOL_SIZES = [13, 26, 52, 104, 196]
const ENDPOINT_COUNTS = [640, 1_280, 2_560, 5_100]
const KEY_COUNTS = [10_000, 20_000, 40_000, 80_000]
const WORKSPACE_COUNTS = [2_375, 4_750, 9_500, 19_000]
const KEYS_PER_WORKSPACE = 2
const DECISIONS = 2_000
const RESPONSES = 50
const REPETITIONS = 3
const SERVICES = 26

const clock = { now: () => performance.now() }

/** Measures time and memory of the one-hop router, on the same classes that it uses. */
export function measureGateway (): Record<string, Slope> {
  return {
    decision_us: fitSlope('microseconds a decision for each endpoint of the service', POOL_SIZES.map((size) => [size, measureDecisionUs(size)] as const)),
    holder_key_bytes: fitSlope('bytes for each key with a holder', KEY_COUNTS.map((count) => [count, retainedBytes(() => createHolderTable(count))] as const)),
    workspace_bytes: fitSlope('bytes for each workspace with two keys', WORKSPACE_COUNTS.map((count) => [count, retainedBytes(() => createConfiguration(count))] as const)),
    endpoint_bytes: fitSlope('bytes for each endpoint', ENDPOINT_COUNTS.map((count) => [count, retainedBytes(() => createFleetState(count, 1, clock).endpoints)] as const)),
    sync_answer_us: fitSlope('microseconds of an answer to another router for each endpoint in use', ENDPOINT_COUNTS.map((count) => [count, measureSyncResponse(count).microseconds] as const)),
    sync_answer_bytes: fitSlope('bytes of an answer to another router for each endpoint in use', ENDPOINT_COUNTS.map((count) => [count, measureSyncResponse(count).bytes] as const))
  }
}

function measureDecisionUs (size: number): number {
  const { endpoints, loads, holders, permits } = createFleetState(size, 1, clock)
  const selector = new EndpointSelector({
    endpoints, loads, holders, permits, health: new EndpointHealth(clock), pauses: new EndpointPauses(clock), availabilityZone: 'zone-0', loadBoundFactor: () => 2, routerCount: () => 800, random: Math.random, isFleetLarge: () => true
  })
  const excluded = new Set<string>()
  return measureShortestUs(() => {
    for (let index = 0; index < DECISIONS; index += 1) {
      selector.choose('service-0', [{ id: index.toString(16).padStart(16, '0'), tokens: 9_000 }, { id: 'own', tokens: 100 }], { excluded })
    }
  }, REPETITIONS) / DECISIONS
}

function createHolderTable (count: number): HolderTable {
  const holders = new HolderTable()
  for (let index = 0; index < count; index += 1) holders.learn(`key${index.toString(16).padStart(13, '0')}`, `engine-${index % 5_100}`)
  return holders
}

function createConfiguration (workspaces: number): ConfigurationInForce {
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

function measureSyncResponse (endpoints: number): { microseconds: number, bytes: number } {
  const state = createFleetState(endpoints, SERVICES, clock)
  for (let index = 0; index < endpoints; index += 1) state.loads.begin(`engine-${index}`)
  const server = new SyncServer(state, 'instance', () => clock.now(), () => 0)
  const respond = (): string => JSON.stringify(server.answer({
    router: { name: 'other', availabilityZone: 'z', address: 'other' },
    storeEra: state.storeEra.news,
    routers: undefined,
    routerCount: 2,
    configurationVersion: 0,
    endpointsRevision: `instance:${state.endpoints.revision}`,
    load: {},
    notes: [],
    notesCursor: 'instance:0'
  }))
  const microseconds = measureShortestUs(() => { for (let index = 0; index < RESPONSES; index += 1) respond() }, REPETITIONS) / RESPONSES
  return { microseconds, bytes: respond().length }
}
