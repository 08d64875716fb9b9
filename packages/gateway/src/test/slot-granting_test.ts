import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { SlotOutcome } from '@mimosarock/gateway/grants/slot-outcome.js'
import { pause } from '@mimosarock/gateway/membership/pause.js'
import { GatewayMetrics } from '@mimosarock/gateway/status/gateway-metrics.js'
import { SlotGranting } from '@mimosarock/gateway/wiring/slot-granting.js'
import { expect, test } from 'vitest'
import { createFleetState } from './create-fleet-state.js'

const NAMES = ['r0', 'r1', 'r2']
const REQUEST = { service: 's', workspace: 'w', rank: 0, routeRank: 0, objectiveMs: 10_000, timeLeftMs: 40_000, excluded: [] }
const ENDPOINT = { id: 'e', service: 's', address: 'e:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 1, revision: 1 }
const { signal } = new AbortController()

// Guards against an owner without requests in progress that grants all slots again after another one has granted them in between.
test('a router that was replaced as owner while it was idle begins anew when it owns the service again', async () => {
  const clock = { skewMs: 0, now: () => performance.now() + clock.skewMs }
  let isEnabled = true
  let granting: SlotGranting | undefined
  for (const name of NAMES) {
    const state = createFleetState(name, clock)
    for (const other of NAMES) state.routers.recordContact({ name: other, availabilityZone: 'z', address: other }, 0)
    state.endpoints.apply([{ key: 'e', value: ENDPOINT }], undefined)
    const other = new SlotGranting({ state, availableEndpoints: () => [ENDPOINT], isEnabled: () => isEnabled, loadBoundFactor: () => 2, clock, log: new SilentEventLog(), metrics: new GatewayMetrics() })
    const lease = await other.client.acquire(REQUEST, signal)
    lease?.release(SlotOutcome.COMPLETE)
    if (lease !== undefined) granting = other
  }
  const stopping = new AbortController()
  granting?.run(stopping.signal).catch(() => undefined)
  clock.skewMs += 400
  // Until the sweep that follows the release.
  await pause(100)
  isEnabled = false
  await pause(600)
  isEnabled = true
  clock.skewMs += 100
  expect((await granting?.client.acquire(REQUEST, signal))?.grant.endpointId).toBe('e')
  expect(await granting?.client.acquire(REQUEST, signal)).toBeUndefined()
  clock.skewMs += 400
  expect((await granting?.client.acquire(REQUEST, signal))?.grant.endpointId).toBe('e')
  stopping.abort()
})
