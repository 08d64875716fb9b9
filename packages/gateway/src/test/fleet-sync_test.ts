import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { FleetSync } from '@mimosarock/gateway/membership/fleet-sync.js'
import { RouterTable } from '@mimosarock/gateway/membership/router-table.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import type { SyncClient } from '@mimosarock/gateway/membership/sync-client.js'
import { STATED_AGE_LIMITS } from './stated-age-limits.js'

const clock = { now: () => performance.now() + 100_000 }

/** Behavior of the other routers. */
interface Peers {
  readonly count: number
  readonly answer: (address: string) => Partial<SyncAnswer> | undefined
  readonly isStoreFailing?: boolean
}

/** Runs sync rounds of a router with the given peers until a condition holds. Returns the addresses it contacted. */
async function runUntil (peers: Peers, condition: (sync: FleetSync, requestedAddresses: readonly string[]) => boolean): Promise<{ sync: FleetSync, requestedAddresses: string[] }> {
  const routers = new RouterTable({ name: 'self', availabilityZone: 'z', address: 'self' }, clock)
  for (let index = 0; index < peers.count; index += 1) routers.recordContact({ name: `r${index}`, availabilityZone: 'z', address: `r${index}` }, 0)
  const requestedAddresses: string[] = []
  const client = {
    sync: async (address: string) => {
      requestedAddresses.push(address)
      const answer = peers.answer(address)
      if (answer === undefined) throw new Error('no answer')
      return { distance: 0, storeEra: { era: 1, changedAgoMs: undefined }, configurationReadAgeMs: 10, endpointsAgeMs: 10, ...answer }
    },
    applyFollowed: () => undefined
  } as unknown as SyncClient
  const sync = new FleetSync({ routers, client, seeds: [], isStoreFailing: () => peers.isStoreFailing === true, ageLimits: () => STATED_AGE_LIMITS }, clock, new SilentEventLog())
  const abortController = new AbortController()
  const running = sync.run(abortController.signal)
  while (!condition(sync, requestedAddresses)) await sleep(5)
  abortController.abort()
  await running
  return { sync, requestedAddresses }
}

test('a single router reads the store', async () => {
  const { sync } = await runUntil({ count: 0, answer: () => undefined }, (running) => running.isReader)
  expect(sync.isReader).toBe(true)
})

test('a router becomes the reader only if it is the first in the order, although all routers can read the store', async () => {
  const order = (name: string): readonly string[] => {
    const table = new RouterTable({ name, availabilityZone: 'z', address: name }, clock)
    for (let index = 0; index < 5; index += 1) table.recordContact({ name: `r${index}`, availabilityZone: 'z', address: `r${index}` }, 0)
    return table.inReaderOrder().map((router) => router.name)
  }
  const isFirst = order('self')[0] === 'self'
  const { sync, requestedAddresses } = await runUntil({ count: 5, answer: () => ({}) }, (running, addresses) => running.isReader || addresses.length > 2)
  expect(sync.isReader).toBe(isFirst)
  expect(new Set(requestedAddresses).size).toBeLessThanOrEqual(1)
})

test('a router whose source has no direct access to the store reads the store itself', async () => {
  const { sync } = await runUntil({ count: 3, answer: () => ({ distance: 1 }) }, (running) => running.isReader)
  expect(sync.isReader).toBe(true)
})

test('in an outage of a fleet of 200 routers, a router contacts few peers and then reads the store itself', async () => {
  const { requestedAddresses } = await runUntil({ count: 200, answer: () => undefined }, (running) => running.isReader)
  expect(requestedAddresses.length).toBeLessThanOrEqual(4)
})

test('a router that the store refuses also contacts the routers after it in the order', async () => {
  const { requestedAddresses } = await runUntil({ count: 3, answer: () => ({}), isStoreFailing: true }, (_running, addresses) => addresses.length > 0)
  expect(requestedAddresses.length).toBeGreaterThan(0)
})

/** Starts the sync of a router with seeds that behave as given; returns it before any of them has answered. */
function startSync (seeds: Readonly<Record<string, () => Promise<SyncAnswer>>>) {
  const routers = new RouterTable({ name: 'self', availabilityZone: 'z', address: 'self' }, clock)
  const client = { sync: async (address: string) => await (seeds[address] as () => Promise<SyncAnswer>)(), applyFollowed: () => undefined } as unknown as SyncClient
  const sync = new FleetSync({ routers, client, seeds: Object.keys(seeds), isStoreFailing: () => false, ageLimits: () => STATED_AGE_LIMITS }, clock, new SilentEventLog())
  const abortController = new AbortController()
  const running = sync.run(abortController.signal)
  return { sync, abortController, running }
}

const never = async (): Promise<SyncAnswer> => await new Promise(() => undefined)
const fail = async (): Promise<SyncAnswer> => { throw new Error('refused') }

test('a router that starts has asked its seeds once one of them has answered, or all have failed', async () => {
  const answered = startSync({ dark: never, live: async () => ({ distance: 0 } as unknown as SyncAnswer) })
  const failed = startSync({ a: fail, b: fail })
  expect([answered.sync.hasAskedSeeds, failed.sync.hasAskedSeeds]).toEqual([false, false])
  await sleep(20)
  expect([answered.sync.hasAskedSeeds, failed.sync.hasAskedSeeds]).toEqual([true, true])
  answered.abortController.abort()
  failed.abortController.abort()
  await failed.running
})

test('a router that starts does not wait longer for seeds that do not answer', async () => {
  const { sync } = startSync({ dark: never })
  await new Promise<void>((resolve) => sync.onSeedsAsked(resolve))
  expect(sync.hasAskedSeeds).toBe(true)
})

test('a reader that was paused does not write to the store on the permission it had before', async () => {
  const pausable = { skewMs: 0, now (): number { return performance.now() + 100_000 + this.skewMs } }
  const routers = new RouterTable({ name: 'self', availabilityZone: 'z', address: 'self' }, pausable)
  const sync = new FleetSync({ routers, client: {} as SyncClient, seeds: [], isStoreFailing: () => false, ageLimits: () => STATED_AGE_LIMITS }, pausable, new SilentEventLog())
  const abortController = new AbortController()
  const running = sync.run(abortController.signal)
  while (!sync.isConfirmedReader) await sleep(5)
  // The next round comes only after the pause.
  pausable.skewMs = 5_000
  expect([sync.isReader, sync.isConfirmedReader]).toEqual([true, false])
  while (!sync.isConfirmedReader) await sleep(5)
  abortController.abort()
  await running
})

/** Starts a router of a rank in a fleet of 200, which follows the first of the order until `state.isOutage` is set. */
async function startFollower (rank: number) {
  const manual = { ms: 100_000, now (): number { return this.ms } }
  const entries = Array.from({ length: 200 }, (_, index) => ({ name: `r${index}`, availabilityZone: `z${index % 5}`, address: `r${index}` }))
  const tableOf = (self: typeof entries[number]): RouterTable => {
    const table = new RouterTable(self, manual)
    for (const entry of entries) table.recordContact(entry, 0)
    return table
  }
  const order = tableOf(entries[0] as typeof entries[number]).inReaderOrder()
  const routers = tableOf(order[rank] as typeof entries[number])
  const state = { isOutage: false, requests: 0 }
  const client = {
    sync: async () => {
      state.requests += 1
      return { distance: state.isOutage ? null : 0, storeEra: { era: 1, changedAgoMs: undefined }, configurationReadAgeMs: 10, endpointsAgeMs: 10 }
    },
    applyFollowed: () => undefined
  } as unknown as SyncClient
  const sync = new FleetSync({ routers, client, seeds: [], isStoreFailing: () => false, ageLimits: () => STATED_AGE_LIMITS }, manual, new SilentEventLog())
  const abortController = new AbortController()
  const running = sync.run(abortController.signal)
  while (sync.followingDistance !== 1) await sleep(5)
  state.isOutage = true
  const rounds = async (): Promise<void> => {
    const until = state.requests + 6
    while (state.requests < until && !sync.isReader) {
      // The backoff of the routers that were contacted passes.
      manual.ms += 1
      await sleep(1)
    }
  }
  const stop = async (): Promise<void> => {
    abortController.abort()
    await running
  }
  return { sync, manual, rounds, stop }
}

// Pattern: the store is down, and each router of a large fleet finds all others without fresh state.
test.each([[1, true], [40, false], [199, false]])('when all routers that can be reached are stale, router %i of the order reads the store at once: %s', async (rank, isReader) => {
  const { sync, rounds, stop } = await startFollower(rank)
  await rounds()
  await stop()
  expect(sync.isReader).toBe(isReader)
})

test.each([[7, 1_100, true], [40, 4_000, false], [199, 7_000, false], [199, 8_600, true]])(
  'router %i of the order has been without fresh state for %i ms, and reads the store in case it refuses only the first ones: %s',
  async (rank, elapsedMs, isReader) => {
    const { sync, manual, rounds, stop } = await startFollower(rank)
    manual.ms += elapsedMs
    await rounds()
    await stop()
    expect(sync.isReader).toBe(isReader)
  }
)

// Guards against a group of routers that start apart and stay unknown to the others until their turn comes, many seconds later.
test('a reader contacts routers that it has never heard in its next rounds, before it is the turn of any other', async () => {
  let isTold = false
  const { requestedAddresses } = await runUntil({ count: 30, answer: () => ({ distance: 1 }) }, (sync, addresses) => {
    if (!isTold && sync.isReader) {
      sync.contactSoon(['x', 'y'].map((name) => ({ name, availabilityZone: 'z', address: name })))
      isTold = true
    }
    return addresses.includes('y')
  })
  const [first, second] = [requestedAddresses.indexOf('x'), requestedAddresses.indexOf('y')]
  expect(second).toBeGreaterThan(first)
})

// Guards against routers that ask the same first ones of the order in each round while these are refused by the store, and never the next ones, which read it.
test('a router that finds the first ones of the order stale follows the first fresh one after them', async () => {
  const entryOf = (index: number) => ({ name: `r${index}`, availabilityZone: 'z', address: `r${index}` })
  const entries = Array.from({ length: 12 }, (_, index) => entryOf(index))
  const table = new RouterTable(entries[0] as typeof entries[number], clock)
  for (const entry of entries) table.recordContact(entry, 0)
  const order = table.inReaderOrder()
  const routers = new RouterTable(order.at(-1) as typeof entries[number], clock)
  for (const entry of entries) routers.recordContact(entry, 0)
  const first = order.slice(0, 4).map(({ address }) => address)
  const state = { areFirstStale: false }
  const client = {
    sync: async (address: string) => {
      return { name: address, distance: state.areFirstStale && first.includes(address) ? null : 0, storeEra: { era: 1, changedAgoMs: undefined }, configurationReadAgeMs: 10, endpointsAgeMs: 10 }
    },
    applyFollowed: () => undefined
  } as unknown as SyncClient
  const sync = new FleetSync({ routers, client, seeds: [], isStoreFailing: () => false, ageLimits: () => STATED_AGE_LIMITS }, clock, new SilentEventLog())
  const abortController = new AbortController()
  const running = sync.run(abortController.signal)
  while (sync.source !== first[0]) await sleep(5)
  state.areFirstStale = true
  while (sync.source === first[0] && !sync.isReader) await sleep(5)
  abortController.abort()
  await running
  expect([sync.source, sync.isReader]).toEqual([order[4]?.name, false])
})
