import { afterEach, expect, test } from 'vitest'
import { hash32 } from '../membership/hash32.js'
import { RouterState } from '../membership/router-state.js'
import type { VmEntry } from '../vm-entry.js'
import { eventually } from './eventually.js'
import { FaultRelay } from './fault-relay.js'
import { liveIds } from './live-ids.js'
import { PausableClock } from './pausable-clock.js'
import { startRouter } from './start-router.js'
import type { TestRouter } from './test-router.js'
import type { TestRouterOptions } from './test-router-options.js'

const HEARTBEAT_MS = 100

const closers: Array<() => Promise<void>> = []
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()))
})

/** A router that its peers can reach only through a relay. */
interface RelayedRouter extends TestRouter {
  readonly relay: FaultRelay
  /** Minimum number of live routers in its view since the fleet was complete. */
  minimumLive: number
}

async function startRelayed (options: TestRouterOptions, relay = new FaultRelay()): Promise<RelayedRouter> {
  const reused = relay.target !== ''
  const address = reused ? options.advertisedAddress : await relay.listen()
  const router = await startRouter({
    heartbeatMs: HEARTBEAT_MS,
    ...options,
    advertisedAddress: async (listening) => {
      relay.target = listening
      return typeof address === 'string' ? address : await address?.(listening) ?? ''
    }
  })
  closers.push(() => router.crash(), ...(reused ? [] : [() => relay.close()]))
  return { ...router, relay, minimumLive: Infinity }
}

async function startFleet (size: number, options: Partial<TestRouterOptions> = {}): Promise<RelayedRouter[]> {
  const fleet: RelayedRouter[] = []
  const seeds: string[] = []
  for (let index = 0; index < size; index += 1) {
    fleet.push(await startRelayed({ id: `r${index}`, seeds, ...options }))
    if (index === 0) seeds.push(fleet[0]?.address ?? '')
  }
  expect(await eventually(() => allConsiderLive(fleet, fleet))).toBe(true)
  // Removes the seeds: a complete fleet must rediscover lost routers without them.
  seeds.length = 0
  for (const router of fleet) {
    router.minimumLive = size
    router.membership.onChange(() => { router.minimumLive = Math.min(router.minimumLive, liveIds(router).length) })
  }
  return fleet
}

/** Returns whether the live routers in each observer's view are exactly the given ones. */
function allConsiderLive (observers: readonly TestRouter[], expected: readonly TestRouter[]): boolean {
  const expectedIds = expected.map((router) => router.id).sort().join()
  return observers.every((router) => liveIds(router).join() === expectedIds)
}

function stateInView (router: TestRouter | undefined, id: string): RouterState | undefined {
  return router?.membership.routers().find((view) => view.identity.id === id)?.state
}

const minimumLiveOf = (fleet: readonly RelayedRouter[]): number => Math.min(...fleet.map((router) => router.minimumLive))

/** Waits until the relays have handled a number of lines, which measures progress in heartbeats instead of time. */
async function waitForLines (fleet: readonly RelayedRouter[], count: number): Promise<void> {
  let passed = 0
  for (const { relay } of fleet) {
    const before = relay.fault
    relay.fault = (source) => {
      passed += 1
      return before(source)
    }
  }
  expect(await eventually(() => passed >= count)).toBe(true)
}

test('connections that stop responding are replaced and no router is removed', async () => {
  const fleet = await startFleet(8, { suspicionMs: 2_000 })
  for (const { relay } of fleet) relay.silenceConnections()
  await waitForLines(fleet, 400)
  expect(await eventually(() => allConsiderLive(fleet, fleet))).toBe(true)
  expect(minimumLiveOf(fleet)).toBe(8)
})

test('lost and delayed heartbeats cause no removal', async () => {
  const fleet = await startFleet(8, { suspicionMs: 2_000 })
  let lines = 0
  for (const { relay } of fleet) {
    relay.fault = () => {
      lines += 1
      const draw = hash32(`line ${lines}`) % 100
      if (draw < 4) return 'lost'
      return new Promise((resolve) => setTimeout(resolve, draw / 2))
    }
  }
  await waitForLines(fleet, 1_000)
  for (const { relay } of fleet) relay.fault = () => undefined
  expect(await eventually(() => allConsiderLive(fleet, fleet))).toBe(true)
  expect(minimumLiveOf(fleet)).toBe(8)
})

test('a suspended router is removed, and rejoins with a higher incarnation after it resumes', async () => {
  const clock = new PausableClock()
  const rest = await startFleet(5)
  const paused = await startRelayed({ id: 'paused', seeds: [rest[0]?.address ?? ''], clock })
  const all = [...rest, paused]
  expect(await eventually(() => allConsiderLive(all, all))).toBe(true)
  clock.pause()
  for (const { relay } of all) relay.fault = (source) => source === 'paused' ? clock.resumed : undefined
  paused.relay.fault = () => clock.resumed
  expect(await eventually(() => allConsiderLive(rest, rest))).toBe(true)
  paused.membership.onChange(() => { paused.minimumLive = Math.min(paused.minimumLive, liveIds(paused).length) })
  clock.resume()
  expect(await eventually(() => allConsiderLive(all, all))).toBe(true)
  // The suspended router must not remove the others, since only its own process stopped.
  expect(paused.minimumLive).toBeGreaterThanOrEqual(6)
})

test('both sides of a partition keep their own members and merge after it heals', async () => {
  const fleet = await startFleet(8)
  const [left, right] = [fleet.slice(0, 4), fleet.slice(4)]
  const idsOf = (routers: readonly RelayedRouter[]): Set<string> => new Set(routers.map((router) => router.id))
  for (const { relay, id } of fleet) {
    const ownSide = idsOf(left).has(id) ? idsOf(left) : idsOf(right)
    relay.fault = (source) => ownSide.has(source) ? undefined : 'lost'
  }
  expect(await eventually(() => allConsiderLive(left, left) && allConsiderLive(right, right))).toBe(true)
  for (const { relay } of fleet) relay.fault = () => undefined
  expect(await eventually(() => allConsiderLive(fleet, fleet))).toBe(true)
  expect(minimumLiveOf(fleet)).toBe(4)
})

test('a router that crashes and restarts repeatedly is suppressed', async () => {
  const fleet = await startFleet(4)
  const relay = new FaultRelay()
  let flapping = await startRelayed({ id: 'flap0', seeds: [fleet[0]?.address ?? ''] }, relay)
  const address = flapping.address
  for (let turn = 1; turn <= 3; turn += 1) {
    expect(await eventually(() => allConsiderLive(fleet, [...fleet, flapping]))).toBe(true)
    await flapping.crash()
    expect(await eventually(() => allConsiderLive(fleet, fleet))).toBe(true)
    flapping = await startRelayed({ id: `flap${turn}`, seeds: [fleet[0]?.address ?? ''], advertisedAddress: () => address }, relay)
  }
  expect(await eventually(() => fleet.every((router) => stateInView(router, 'flap3') === RouterState.LIVE))).toBe(true)
  expect(allConsiderLive(fleet, fleet)).toBe(true)
})

test('entries of contradicting VM lists are hints: routers that respond are live, ones that are only listed are not', async () => {
  const listed = (name: string, address: string): VmEntry => ({ name, role: 'router', address, availabilityZone: 'a', leaving: false })
  const lists: VmEntry[][] = [[], [], [], []]
  const start = (index: number): Promise<RelayedRouter> => startRelayed({ id: `r${index}`, vmEntries: () => lists[index] ?? [] })
  const fleet = [await start(0), await start(1), await start(2), await start(3)]
  const addresses = fleet.map((router) => router.address)
  lists[1]?.push(listed('r0', addresses[0] ?? ''), listed('gone', '127.0.0.1:1'))
  lists[2]?.push(listed('gone', '127.0.0.1:1'), listed('r1', addresses[1] ?? ''))
  lists[3]?.push(listed('r3', addresses[3] ?? ''))
  // Router 3 knows no other router: its own list contains only itself, and only router 0 lists it.
  lists[0]?.push(listed('r3', addresses[3] ?? ''))
  expect(await eventually(() => allConsiderLive(fleet, fleet), 30_000)).toBe(true)
  expect(fleet.map((router) => router.membership.routers().length)).toEqual([4, 4, 4, 4])
})

test('routers of a fleet that is replaced at once discover each other through the VM list', async () => {
  const old = await startFleet(6)
  const fresh: RelayedRouter[] = []
  const listed = (): VmEntry[] => [...old, ...fresh].map((router) => ({ name: router.id, role: 'router', address: router.address, availabilityZone: 'a', leaving: false }))
  await Promise.all(old.map((router) => router.crash()))
  for (let index = 0; index < 6; index += 1) fresh.push(await startRelayed({ id: `new${index}`, vmEntries: listed }))
  expect(await eventually(() => allConsiderLive(fresh, fresh), 30_000)).toBe(true)
})
