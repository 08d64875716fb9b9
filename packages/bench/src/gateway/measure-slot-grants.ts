import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { LineWriter } from '@mimosarock/gateway/grants/line-writer.js'
import { SlotClientConnection } from '@mimosarock/gateway/grants/slot-client-connection.js'
import { SlotOutcome } from '@mimosarock/gateway/grants/slot-outcome.js'
import { SlotOwners } from '@mimosarock/gateway/grants/slot-owners.js'
import { SlotServerConnection } from '@mimosarock/gateway/grants/slot-server-connection.js'
import { ReportedLoads } from '@mimosarock/gateway/loads/reported-loads.js'
import { fitSlope } from '../capacity/fit-slope.js'
import { measureShortestUs } from '../capacity/measure-shortest-us.js'
import type { Slope } from '../capacity/slope.js'

const GRANT_COUNTS = [2_000, 4_000, 8_000, 16_000]
const REPETITIONS = 3
const ENDPOINTS = Array.from({ length: 3 }, (_, index) => ({
  id: `engine-${index}`, service: 'service', address: `10.0.0.${index}:8000`, availabilityZone: `zone-${index}`, slots: 6, isDraining: false, startedAt: 1, revision: 1
}))
const REQUEST = { service: 'service', workspace: 'workspace', rank: 0, routeRank: 0, objectiveMs: 150, timeLeftMs: 2_000, excluded: [] }
const LOAD = { running: 1, waiting: 0, slots: 6, slowdown: 100 }

const clock = { now: () => performance.now() }

/** Measures the grants of a slot owner: the decision, and encoding and decoding of all messages at both ends, without the network. */
export function measureSlotGrants (): Record<string, Slope> {
  // The first run also compiles the code, which must not count in the smallest point.
  grantSlots(Math.max(...GRANT_COUNTS))
  return {
    slot_grant_us: fitSlope('microseconds for each slot grant at both ends together, without the network', GRANT_COUNTS.map((count) => {
      return [count, measureShortestUs(() => { grantSlots(count) }, REPETITIONS)] as const
    }))
  }
}

function grantSlots (count: number): void {
  const owners = new SlotOwners({
    clock,
    random: Math.random,
    availableEndpoints: () => ENDPOINTS,
    health: new EndpointHealth(clock),
    reportedLoads: new ReportedLoads(clock, new SilentEventLog()),
    fleetLoad: () => 0,
    loadBoundFactor: () => 2
  }, () => true)
  // Lines arrive in the call that writes them, so each message is one line.
  const client: SlotClientConnection = new SlotClientConnection(new LineWriter((text) => { server.receive(text) }, (flush) => flush()))
  const server: SlotServerConnection = new SlotServerConnection(owners, new LineWriter((text) => { client.receive(text) }, (flush) => flush()), 'router')
  let granted = 0
  for (let index = 0; index < count; index += 1) {
    client.request(REQUEST, {
      queued: () => undefined,
      granted: ({ grant }) => {
        granted += 1
        client.release({ grant, outcome: SlotOutcome.COMPLETE, elapsedMs: 30, load: LOAD })
      },
      refused: () => undefined,
      lost: () => undefined
    })
  }
  if (granted !== count || owners.inUse > 0) throw new Error(`only ${granted} of ${count} slots were granted, and ${owners.inUse} are in use`)
}
