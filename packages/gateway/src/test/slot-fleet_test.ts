import { expect, test } from 'vitest'
import { SlotFleetSimulation } from './slot-fleet-simulation.js'

/** Requests a second, changing every half second. Three endpoints of six slots serve about 490. */
const BURSTS = [200, 600] as const
const OBJECTIVE_MS = 200
const LOAD = { routers: 31, perSecond: BURSTS, seconds: 8, objectiveMs: OBJECTIVE_MS, usesGrants: true }
/** Slots of an endpoint and the largest pipeline allowance. */
const MAXIMUM_GRANTED = 8
/** Time at which a fault begins, in milliseconds. */
const FAULT = 2_000
/** Time from which the fleet uses grants again; each fault ends at least a second before. */
const RECOVERED = 6_000

type Fleet = SlotFleetSimulation
type Router = Fleet['routers'][number]

async function simulate (changes: Partial<ConstructorParameters<typeof SlotFleetSimulation>[0]>): Promise<Fleet> {
  const fleet = new SlotFleetSimulation({ ...LOAD, ...changes })
  await fleet.run()
  return fleet
}

// Guards against routers that each choose by old loads: one endpoint had a queue and rejected requests while another one had free slots.
test.each([[31, 150, 0.1], [61, 200, 0.02], [195, 250, 0.02]])('%i routers in front of 18 slots: more requests are answered within %i ms than without grants', async (routers, objectiveMs, gain) => {
  const shares = await simulate({ routers, objectiveMs, usesGrants: false })
  const grants = await simulate({ routers, objectiveMs })
  expect(grants.share(objectiveMs)).toBeGreaterThan(shares.share(objectiveMs) + gain)
  expect(grants.maximumGranted).toBeLessThanOrEqual(MAXIMUM_GRANTED)
  expect(grants.refusedWhileFree).toBe(0)
  expect(grants.unfinished).toBe(0)
}, 60_000)

// Guards against an owner that counts less than what is at an endpoint.
test.each([31, 195])('%i routers without lost messages: no endpoint has more requests than its slots and the pipeline allowance', async (routers) => {
  const fleet = await simulate({ routers, loss: 0 })
  expect(fleet.maximumInFlight()).toBeLessThanOrEqual(MAXIMUM_GRANTED)
  expect(fleet.grantedShare(0)).toBe(1)
}, 60_000)

// Guards against a slow endpoint that gets as many requests as a fast one, or none after it was slow.
test('one endpoint is 2.5 times as slow for 0.4 s at a time: more requests are answered in time than without grants', async () => {
  const slowdown = (endpoint: number, now: number): number => endpoint === 0 && now % 1_500 < 400 ? 2.5 : 1
  const shares = await simulate({ slowdown, usesGrants: false })
  const grants = await simulate({ slowdown })
  expect(grants.share(OBJECTIVE_MS)).toBeGreaterThan(shares.share(OBJECTIVE_MS) + 0.05)
  expect(grants.endpoints.map(({ served }) => served > grants.finished.length / 6)).toEqual([true, true, true])
}, 60_000)

// Guards against a workspace that takes the shares of the others by sending more.
test('one workspace sends six times its usual: the others are served as before', async () => {
  const usual = await simulate({ perSecond: [176, 308] })
  const fleet = await simulate({ perSecond: [400, 700], firstShare: 0.67 })
  for (const workspace of ['w1', 'w2', 'w3']) {
    expect(fleet.share(OBJECTIVE_MS, 0, workspace)).toBeGreaterThan(Math.max(0.97, usual.share(OBJECTIVE_MS, 0, workspace) - 0.01))
  }
  expect(fleet.share(OBJECTIVE_MS, 0, 'w0')).toBeLessThan(0.9)
}, 60_000)

/** A fault that lasts for a time: what it begins with, and what ends it. */
interface Fault {
  readonly name: string
  readonly lastsMs: number
  readonly begin: (fleet: Fleet, owner: Router) => void
  readonly end?: (fleet: Fleet, owner: Router) => void
}

const others = (fleet: Fleet, owner: Router): readonly Router[] => fleet.routers.filter((router) => router !== owner)
const restoreAll = (fleet: Fleet): void => { for (const router of fleet.routers) fleet.cut(router, false) }
/** Returns some routers other than the owner with requests in flight, which use grants. */
function findBusy (fleet: Fleet, owner: Router, count: number): readonly Router[] {
  const busy = others(fleet, owner).filter(({ loads }) => Object.values(loads.localLoads()).some((inFlight) => inFlight > 0)).slice(0, count)
  expect(busy.length).toBe(count)
  return busy
}
const FAULTS: readonly Fault[] = [
  { name: 'the owner is killed', lastsMs: 0, begin: (fleet, owner) => fleet.kill(owner) },
  { name: 'the owner is frozen', lastsMs: 3_000, begin: (_, owner) => { owner.isFrozen = true }, end: (_, owner) => { owner.isFrozen = false } },
  { name: 'the owner takes 100 ms for each message', lastsMs: 2_000, begin: (_, owner) => { owner.processingMs = 100 }, end: (_, owner) => { owner.processingMs = 0 } },
  {
    name: 'the owner is cut off from some routers',
    lastsMs: 2_000,
    begin: (fleet, owner) => { for (const router of others(fleet, owner).slice(0, 10)) fleet.cut(router) },
    end: restoreAll
  },
  {
    name: 'half of the routers take another one for the owner',
    lastsMs: 1_000,
    begin: (fleet, owner) => { for (const router of others(fleet, owner).slice(0, 15)) router.presumedGone.add(owner.entry.name) },
    end: (fleet) => { for (const router of fleet.routers) router.presumedGone.clear() }
  },
  { name: 'three routers with grants are killed', lastsMs: 0, begin: (fleet, owner) => { for (const router of findBusy(fleet, owner, 3)) fleet.kill(router) } },
  {
    name: 'a router with grants is cut off',
    lastsMs: 1_000,
    begin: (fleet, owner) => fleet.cut(findBusy(fleet, owner, 1)[0] as Router),
    end: restoreAll
  },
  {
    name: 'an endpoint is gone, and comes back',
    lastsMs: 1_000,
    begin: (fleet) => { fleet.removeEndpoint(0) },
    end: (fleet) => { fleet.restartEndpoint(0) }
  },
  { name: 'one message in fifty is late', lastsMs: 1_000, begin: (fleet) => { fleet.loss = 0.02 }, end: (fleet) => { fleet.loss = 0 } }
]

// Guards against requests that wait for an owner that does not answer, slots that stay lost, and a fleet that keeps its shares.
test.each(FAULTS)('$name: every request ends, refusals come within the objective, and grants are used again', async ({ lastsMs, begin, end }) => {
  let owner: Router | undefined
  const fleet = await simulate({
    loss: 0,
    onStep: (fleet, now) => {
      if (now === FAULT) owner = fleet.owner
      if (now === FAULT) begin(fleet, owner as Router)
      if (now === FAULT + lastsMs) end?.(fleet, owner as Router)
    }
  })
  expect(fleet.unfinished).toBe(0)
  expect(fleet.longestRefusalMs).toBeLessThan(OBJECTIVE_MS)
  expect(fleet.maximumGrantedFrom(RECOVERED)).toBeLessThanOrEqual(MAXIMUM_GRANTED)
  expect(fleet.grantedShare(RECOVERED)).toBe(1)
  expect(fleet.share(OBJECTIVE_MS, RECOVERED)).toBeGreaterThan(0.9)
}, 60_000)
