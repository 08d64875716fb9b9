import { afterEach, expect, test } from 'vitest'
import { RouterState } from '../membership/router-state.js'
import { eventually } from './eventually.js'
import { liveIds } from './live-ids.js'
import { startRouter } from './start-router.js'
import type { TestRouter } from './test-router.js'
import type { TestRouterOptions } from './test-router-options.js'

const started: TestRouter[] = []
afterEach(async () => {
  await Promise.all(started.splice(0).map((router) => router.crash()))
})

async function start (options: TestRouterOptions): Promise<TestRouter> {
  const router = await startRouter(options)
  started.push(router)
  return router
}

/** Starts a fleet in which the first router is the seed of all others. */
async function startFleet (size: number, options: Partial<TestRouterOptions> = {}): Promise<TestRouter[]> {
  const first = await start({ id: 'r0', ...options })
  const others = await Promise.all(Array.from({ length: size - 1 }, (_, index) => start({ id: `r${index + 1}`, seeds: [first.address], ...options })))
  return [first, ...others]
}

/** Returns whether the live routers in each router's view are exactly the given ids. */
function allConsiderLive (routers: readonly TestRouter[], ids: readonly string[]): boolean {
  const expectedIds = [...ids].sort().join()
  return routers.every((router) => liveIds(router).join() === expectedIds)
}

function stateInView (router: TestRouter, id: string): RouterState | undefined {
  return router.membership.routers().find((view) => view.identity.id === id)?.state
}

const ids = (routers: readonly TestRouter[]): string[] => routers.map((router) => router.id)

test.each([8, 32])('%i routers discover each other through one seed and agree on the membership', async (size) => {
  const fleet = await startFleet(size)
  expect(await eventually(() => allConsiderLive(fleet, ids(fleet)))).toBe(true)
  const digests = (): Set<number> => new Set(fleet.map((router) => router.membership.viewDigest))
  expect(await eventually(() => digests().size === 1)).toBe(true)
  expect(Math.max(...fleet.map((router) => router.membership.heartbeatPeerIds.length))).toBe(4)
})

test('128 routers in one process discover each other, each with no more heartbeat peers than in a small fleet', { timeout: 120_000 }, async () => {
  const fleet = await startFleet(128, { heartbeatMs: 1_000, suspicionMs: 10_000 })
  expect(await eventually(() => allConsiderLive(fleet, ids(fleet)), 100_000)).toBe(true)
  expect(Math.max(...fleet.map((router) => router.membership.heartbeatPeerIds.length))).toBe(4)
})

test('a crashed router becomes a suspect and is then removed by all routers', async () => {
  const fleet = await startFleet(8)
  await eventually(() => allConsiderLive(fleet, ids(fleet)))
  const [crashed, ...rest] = fleet as [TestRouter, ...TestRouter[]]
  await crashed.crash()
  expect(await eventually(() => rest.some((router) => stateInView(router, 'r0') === RouterState.SUSPECT))).toBe(true)
  expect(liveIds(rest[0] as TestRouter)).toContain('r0')
  expect(await eventually(() => allConsiderLive(rest, ids(rest)))).toBe(true)
})

test('a leaving router is marked immediately, and removed without a suspicion once it announces its departure', async () => {
  const fleet = await startFleet(8, { suspicionMs: 60_000 })
  await eventually(() => allConsiderLive(fleet, ids(fleet)))
  const [leaving, ...rest] = fleet as [TestRouter, ...TestRouter[]]
  leaving.membership.leave()
  expect(await eventually(() => rest.every((router) => stateInView(router, 'r0') === RouterState.LEAVING))).toBe(true)
  expect(allConsiderLive(fleet, ids(fleet))).toBe(true)
  await leaving.membership.depart()
  expect(await eventually(() => allConsiderLive(rest, ids(rest)))).toBe(true)
})

test('revisions reach every router, and extension payloads reach heartbeat peers', async () => {
  const fleet = await startFleet(8)
  await eventually(() => allConsiderLive(fleet, ids(fleet)))
  const received = new Map<string, unknown>()
  for (const router of fleet) {
    router.membership.addExtension({
      name: 'load',
      outgoing: () => router.id === 'r3' ? { running: 7 } : undefined,
      incoming: (peer, payload) => { received.set(`${router.id}<${peer.id}`, payload) }
    })
  }
  fleet[3]?.membership.setRevision(12)
  const revisionInView = (router: TestRouter): number | undefined =>
    router.membership.routers().find((view) => view.identity.id === 'r3')?.revision
  expect(await eventually(() => fleet.every((router) => revisionInView(router) === 12))).toBe(true)
  expect(await eventually(() => received.size >= 4)).toBe(true)
  expect([...received.keys()].every((key) => key.endsWith('<r3'))).toBe(true)
  expect(new Set([...received.values()].map((payload) => JSON.stringify(payload)))).toEqual(new Set(['{"running":7}']))
})
