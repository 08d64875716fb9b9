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

/** Starts a fleet in which each router knows the first as its seed. */
async function startFleet (size: number, options: Partial<TestRouterOptions> = {}): Promise<TestRouter[]> {
  const first = await start({ id: 'r0', ...options })
  const others = await Promise.all(Array.from({ length: size - 1 }, (_, index) => start({ id: `r${index + 1}`, seeds: [first.address], ...options })))
  return [first, ...others]
}

function agree (routers: readonly TestRouter[], ids: readonly string[]): boolean {
  const wanted = [...ids].sort().join()
  return routers.every((router) => liveIds(router).join() === wanted)
}

function stateAt (router: TestRouter, id: string): RouterState | undefined {
  return router.membership.routers().find((view) => view.identity.id === id)?.state
}

const ids = (routers: readonly TestRouter[]): string[] => routers.map((router) => router.id)

test.each([8, 32])('%i routers find each other from one seed and agree', async (size) => {
  const fleet = await startFleet(size)
  expect(await eventually(() => agree(fleet, ids(fleet)))).toBe(true)
  const digests = (): Set<number> => new Set(fleet.map((router) => router.membership.viewDigest))
  expect(await eventually(() => digests().size === 1)).toBe(true)
  expect(Math.max(...fleet.map((router) => router.membership.heartbeatPeerIds.length))).toBe(4)
})

test('128 routers in one process find each other, with no more heartbeats for each than in a small fleet', { timeout: 120_000 }, async () => {
  const fleet = await startFleet(128, { heartbeatMs: 1_000, suspicionMs: 10_000 })
  expect(await eventually(() => agree(fleet, ids(fleet)), 100_000)).toBe(true)
  expect(Math.max(...fleet.map((router) => router.membership.heartbeatPeerIds.length))).toBe(4)
})

test('a crashed router is a suspect first and then removed everywhere', async () => {
  const fleet = await startFleet(8)
  await eventually(() => agree(fleet, ids(fleet)))
  const [crashed, ...rest] = fleet as [TestRouter, ...TestRouter[]]
  await crashed.crash()
  expect(await eventually(() => rest.some((router) => stateAt(router, 'r0') === RouterState.SUSPECT))).toBe(true)
  expect(liveIds(rest[0] as TestRouter)).toContain('r0')
  expect(await eventually(() => agree(rest, ids(rest)))).toBe(true)
})

test('a router that leaves is marked at once and its departure needs no suspicion', async () => {
  const fleet = await startFleet(8, { suspicionMs: 60_000 })
  await eventually(() => agree(fleet, ids(fleet)))
  const [leaving, ...rest] = fleet as [TestRouter, ...TestRouter[]]
  leaving.membership.leave()
  expect(await eventually(() => rest.every((router) => stateAt(router, 'r0') === RouterState.LEAVING))).toBe(true)
  expect(agree(fleet, ids(fleet))).toBe(true)
  await leaving.membership.depart()
  expect(await eventually(() => agree(rest, ids(rest)))).toBe(true)
})

test('revisions and extension payloads reach the others', async () => {
  const fleet = await startFleet(8)
  await eventually(() => agree(fleet, ids(fleet)))
  const heard = new Map<string, unknown>()
  for (const router of fleet) {
    router.membership.addExtension({
      name: 'load',
      outgoing: () => router.id === 'r3' ? { running: 7 } : undefined,
      incoming: (peer, payload) => { heard.set(`${router.id}<${peer.id}`, payload) }
    })
  }
  fleet[3]?.membership.setRevision(12)
  const revisionAt = (router: TestRouter): number | undefined =>
    router.membership.routers().find((view) => view.identity.id === 'r3')?.revision
  expect(await eventually(() => fleet.every((router) => revisionAt(router) === 12))).toBe(true)
  expect(await eventually(() => heard.size >= 4)).toBe(true)
  expect([...heard.keys()].every((key) => key.endsWith('<r3'))).toBe(true)
  expect(new Set([...heard.values()].map((payload) => JSON.stringify(payload)))).toEqual(new Set(['{"running":7}']))
})
