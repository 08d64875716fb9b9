import { expect, test, vi } from 'vitest'
import { SlowFleet } from './slow-fleet.js'
import { useSimulatedTime } from './use-simulated-time.js'

const ZONES = 3
const ROUTERS_PER_ZONE = 65
/** Stated bound: from this time after the acknowledgement of the record, no request may reach the zone. */
const BOUND_MS = 5_000
/** Bound of the test; the difference is left for a lost reader, an outage and a router that is paused. */
const KNOWN_MS = 2_500
const STEP_MS = 20
const simulated = useSimulatedTime()

/** Writes the zones to the store; returns the milliseconds after which the last of some routers knows them. */
async function timeUntilKnown (fleet: SlowFleet, names: readonly string[], zones: readonly string[]): Promise<number> {
  fleet.evacuated = zones
  fleet.offset += 1
  for (let elapsedMs = 0; elapsedMs <= BOUND_MS; elapsedMs += STEP_MS) {
    const lacking = names.filter((name) => String([...fleet.stateOf(name).evacuations.zones].sort()) !== String(zones))
    if (lacking.length === 0) return elapsedMs
    await vi.advanceTimersByTimeAsync(STEP_MS)
  }
  return Infinity
}

// Guards against changes that reach only a part of a large fleet in time: followers at two removes from the store, on slow links.
test('on slow links, 195 routers know of the start and the end of an evacuation well within the bound, also those that reach only the store or only other routers', async () => {
  const fleet = new SlowFleet(ZONES, ROUTERS_PER_ZONE, simulated.signal)
  const { names } = fleet
  await vi.advanceTimersByTimeAsync(5_000)
  const started = await timeUntilKnown(fleet, names, ['z1'])
  for (let index = 0; index < names.length; index += 1) {
    if (index % 10 === 3) fleet.withoutStore.add(names[index] as string)
    if (index % 10 === 7) fleet.withoutPeers.add(names[index] as string)
  }
  const justCut = await timeUntilKnown(fleet, names, ['z1', 'z2'])
  await vi.advanceTimersByTimeAsync(4_000)
  const cut = await timeUntilKnown(fleet, names, ['z2'])
  fleet.withoutStore.clear()
  fleet.withoutPeers.clear()
  await vi.advanceTimersByTimeAsync(4_000)
  const healed = await timeUntilKnown(fleet, names, [])
  console.log(`milliseconds until the last router knew: ${started}, just cut ${justCut}, cut ${cut}, healed ${healed}`)
  expect(Math.max(started, justCut, cut, healed)).toBeLessThanOrEqual(KNOWN_MS)
}, 120_000)
