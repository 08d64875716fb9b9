import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { SlotClient } from '@mimosarock/gateway/grants/slot-client.js'
import type { SlotListener } from '@mimosarock/gateway/grants/slot-listener.js'
import { SlotOwnership } from '@mimosarock/gateway/grants/slot-ownership.js'
import type { SlotRelease } from '@mimosarock/gateway/grants/slot-release.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'
import { RouterTable } from '@mimosarock/gateway/membership/router-table.js'
import { beforeEach, expect, test } from 'vitest'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

const REQUEST = { service: 's', workspace: 'w', rank: 0, routeRank: 0, objectiveMs: 200, timeLeftMs: 1_000, excluded: [] }
const GRANT = { grant: 5, endpointId: 'a', startedAt: 1, waitedMs: 0 }
const MEMBERS = ['r0', 'r1', 'r2', 'r3'].map((name) => ({ name, availabilityZone: 'z', address: `${name}:1` }))

let clock: SteppedClock
let isEnabled: boolean
let slots: number
let down: Set<string>
let listeners: SlotListener[]
let events: string[]
let results: string[]
let lookUps: number
let ownership: SlotOwnership
let client: SlotClient
let owner: RouterEntry
let receivedCount: number

function createOwnership (self: RouterEntry): SlotOwnership {
  const routers = new RouterTable(self, clock)
  for (const member of MEMBERS) routers.recordContact(member, 0)
  const ready = () => { lookUps += 1; return [{ id: 'a', service: 's', address: 'a:1', availabilityZone: 'z', slots, isDraining: false, startedAt: 1, revision: 1 }] }
  return new SlotOwnership({ clock, routers, endpoints: { get entries () { return ready() }, ready }, isEnabled: () => isEnabled, isDown: ({ name }) => down.has(name) })
}

beforeEach(() => {
  clock = new SteppedClock()
  isEnabled = true
  slots = 3
  down = new Set()
  listeners = []
  events = []
  results = []
  lookUps = 0
  receivedCount = 0
  owner = createOwnership(MEMBERS[0] as RouterEntry).ownerOf('s') as RouterEntry
  const self = MEMBERS.find(({ name }) => name !== owner.name) as RouterEntry
  ownership = createOwnership(self)
  const link = {
    get receivedCount () { return receivedCount },
    request: (_: unknown, listener: SlotListener) => {
      listeners.push(listener)
      return { cancel: () => { events.push('cancel') } }
    },
    release: ({ grant, outcome }: SlotRelease) => { events.push(`release ${grant} ${outcome}`) }
  }
  client = new SlotClient({
    router: self.name,
    ownership,
    links: { linkTo: () => link, isDown: ({ name }) => down.has(name), reset: ({ name }) => { events.push(`reset ${name}`) } },
    localLink: link,
    clock,
    log: new SilentEventLog(),
    onResult: (_, result) => { results.push(result) }
  })
})

async function advance (ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 1) await clock.advance(1)
}

// Guards against a deployment that changes although its services have slots enough, and against work for grants that are turned off.
test('uses grants only while a service has fewer slots than there are routers, and the setting allows them', async () => {
  expect(client.usesGrants('s')).toBe(true)
  slots = 4
  await advance(50)
  expect(client.usesGrants('s')).toBe(false)
  slots = 3
  isEnabled = false
  await advance(50)
  lookUps = 0
  expect([client.usesGrants('s'), lookUps]).toEqual([false, 0])
})

// Guards against routers that each take another one for the owner, and against a lost owner that is asked for as long as it is listed.
test('all routers take the same one for the owner, and the next one while it cannot be reached', () => {
  const ownerships = MEMBERS.map(createOwnership)
  expect(new Set(ownerships.map((other) => other.ownerOf('s')?.name))).toEqual(new Set([owner.name]))
  expect(ownerships.filter((other) => other.owns('s')).length).toBe(1)
  down.add(owner.name)
  const next = ownerships.map((other) => other.ownerOf('s')?.name).filter((name) => name !== owner.name)
  expect(next).toEqual(Array(3).fill(ownership.ownerOf('s')?.name))
  expect(MEMBERS.map(({ name }) => name)).toContain(next[0])
  expect(ownership.wantedRouters().map(({ name }) => name)).toContain(owner.name)
})

// Guards against a slot that nobody uses: the grant was in transit when its caller disconnected.
test('withdraws the request of a caller who has disconnected, and releases a grant that arrives afterwards', async () => {
  const leaving = new AbortController()
  const lease = client.acquire(REQUEST, leaving.signal)
  leaving.abort()
  await expect(lease).rejects.toMatchObject({ code: ResultCode.CALLER_GONE })
  listeners[0]?.granted(GRANT)
  expect(events).toEqual(['cancel', 'release 5 unused'])
  expect(results).toEqual(['cancelled'])
})

async function askWithoutAnswer (): Promise<void> {
  const lease = client.acquire(REQUEST, new AbortController().signal)
  await advance(80)
  expect(await lease).toBeUndefined()
}

// Guards against requests that wait for an owner that does not answer, one after the other.
test('gives up without an answer in time, asks again once something arrives, and resets the connection if nothing does', async () => {
  await askWithoutAnswer()
  await askWithoutAnswer()
  expect(listeners.length).toBe(1)
  receivedCount += 1
  const lease = client.acquire(REQUEST, new AbortController().signal)
  listeners[1]?.granted(GRANT)
  expect((await lease)?.grant).toEqual(GRANT)
  for (let count = 0; count < 30; count += 1) await askWithoutAnswer()
  expect(listeners.length).toBeLessThan(8)
  expect(events).toContain(`reset ${owner.name}`)
})

// Guards against requests that each wait for an owner whose answers all arrive too late.
test('skips an owner for a time whose answers came too late three times', async () => {
  for (let count = 0; count < 3; count += 1) {
    await askWithoutAnswer()
    receivedCount += 1
  }
  await askWithoutAnswer()
  expect(listeners.length).toBe(3)
  await advance(250)
  await askWithoutAnswer()
  expect(listeners.length).toBe(4)
  expect(events.filter((event) => event.startsWith('reset'))).toEqual([])
})

// Guards against a request that waits at an owner whose final answer is lost, and against a refusal that a router cannot give.
test('waits longer than for an answer once the request is queued, but not without end; another owner refuses nothing', async () => {
  const queued = client.acquire(REQUEST, new AbortController().signal)
  listeners[0]?.queued(50)
  await advance(170)
  expect(results).toEqual([])
  await advance(10)
  expect(await queued).toBeUndefined()
  const other = client.acquire(REQUEST, new AbortController().signal)
  listeners[1]?.refused({ code: ResultCode.NOT_OWNER, message: 'another router' })
  expect(await other).toBeUndefined()
  expect(await client.acquire(REQUEST, new AbortController().signal)).toBeUndefined()
  expect(listeners.length).toBe(2)
})
