import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { SlotEndpoints } from '@mimosarock/gateway/grants/slot-endpoints.js'
import { SlotTimes } from '@mimosarock/gateway/grants/slot-times.js'
import { ReportedLoads } from '@mimosarock/gateway/loads/reported-loads.js'

const SLOTS = 12
const clock = { ms: 10_000, now (): number { return this.ms } }
const request = { service: 's', workspace: 'w', rank: 0, routeRank: 0, objectiveMs: 1_000, timeLeftMs: 4_000, excluded: [] }

function createEndpoints (count: number): { readonly endpoints: SlotEndpoints, readonly reportedLoads: ReportedLoads, readonly entries: readonly Parameters<SlotEndpoints['grantsOf']>[0][] } {
  const entries = Array.from({ length: count }, (_, index) => ({
    id: `e${index}`, service: 's', address: `e${index}:1`, availabilityZone: 'z', slots: SLOTS, isDraining: false, startedAt: 1, revision: 1
  }))
  const reportedLoads = new ReportedLoads(clock, new SilentEventLog())
  const options = {
    clock, random: () => 0.5, availableEndpoints: () => entries, health: new EndpointHealth(clock), reportedLoads, fleetLoad: () => 0, loadBoundFactor: () => 2
  }
  return { endpoints: new SlotEndpoints('s', options, new SlotTimes(clock)), reportedLoads, entries }
}

/** Grants requests that never end, and returns whether an endpoint above the promised bound was granted one. */
function exceedsBound ({ endpoints, entries }: ReturnType<typeof createEndpoints>, count: number, preferred: readonly string[] | undefined): boolean {
  let isExceeded = false
  for (let granted = 0; granted < count; granted += 1) {
    const chosen = endpoints.choose({ ...request, preferred })
    if (chosen === undefined) throw new Error('no free slot')
    isExceeded ||= endpoints.grantsOf(chosen).load > 2 * granted / entries.length + 3
    endpoints.grantsOf(chosen).begin()
  }
  return isExceeded
}

// Guards against a holder whose slots are all granted to requests for its contexts while the other endpoints are idle.
test('requests that prefer one endpoint are not granted a slot of it above the load bound', () => {
  expect(exceedsBound(createEndpoints(10), 60, ['e0'])).toBe(false)
})

// Guards against the same at the only endpoint that is not slow for a moment.
test('requests are not granted a slot of the only fast endpoint above the load bound', () => {
  const fixture = createEndpoints(10)
  for (const entry of fixture.entries.slice(1)) fixture.reportedLoads.record(entry, { running: 0, waiting: 0, slots: SLOTS, slowdown: 4 })
  expect(exceedsBound(fixture, 60, undefined)).toBe(false)
})

// Guards against a slot that is left free because of the bound.
test('an endpoint above the load bound is granted requests that may run nowhere else', () => {
  const { endpoints, entries } = createEndpoints(10)
  const excluded = entries.slice(1).map(({ id }) => id)
  for (let granted = 0; granted < SLOTS; granted += 1) {
    expect(endpoints.choose({ ...request, excluded })?.id).toBe('e0')
    endpoints.grantsOf(entries[0] as typeof entries[number]).begin()
  }
})
