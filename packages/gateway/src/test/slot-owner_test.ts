import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { SlotOwner } from '@mimosarock/gateway/grants/slot-owner.js'
import type { SlotListener } from '@mimosarock/gateway/grants/slot-listener.js'
import { SlotOutcome } from '@mimosarock/gateway/grants/slot-outcome.js'
import type { SlotRequest } from '@mimosarock/gateway/grants/slot-request.js'
import { ReportedLoads } from '@mimosarock/gateway/loads/reported-loads.js'
import { beforeEach, expect, test } from 'vitest'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

const HOLDER = { name: 'r1' }
const SERVICE_MS = 36

let clock: SteppedClock
let owner: SlotOwner
let health: EndpointHealth
let answers: string[]
let fleetLoads: Record<string, number>

beforeEach(() => {
  clock = new SteppedClock()
  health = new EndpointHealth(clock)
  answers = []
  fleetLoads = {}
  owner = createOwner()
})

function createOwner (): SlotOwner {
  const endpoints = ['a', 'b'].map((id) => ({ id, service: 's', address: 'e:1', availabilityZone: `z${id}`, slots: 1, isDraining: false, startedAt: 1, revision: 1 }))
  let grants = 0
  return new SlotOwner('s', {
    clock, random: () => 0.5, availableEndpoints: () => endpoints, health, reportedLoads: new ReportedLoads(clock, new SilentEventLog()), fleetLoad: (id) => fleetLoads[id] ?? 0, loadBoundFactor: () => 2
  }, () => { grants += 1; return grants })
}

function ask (name: string, changes: Partial<SlotRequest> = {}, holder = HOLDER): ReturnType<SlotOwner['request']> {
  const listener: SlotListener = {
    queued: () => answers.push(`${name} queued`),
    granted: ({ grant, endpointId }) => answers.push(`${name} ${grant} ${endpointId}`),
    refused: ({ code }) => answers.push(`${name} refused ${code}`),
    lost: () => undefined
  }
  return owner.request(holder, { service: 's', workspace: 'w', rank: 0, routeRank: 0, objectiveMs: 1_000, timeLeftMs: 4_000, excluded: [], ...changes }, listener)
}

/** Brings the owner past its beginning, with known service times and no pipeline beyond one request for each endpoint. */
async function begin (): Promise<void> {
  ask('first')
  await clock.advance(SERVICE_MS)
  owner.release({ grant: 1, outcome: SlotOutcome.COMPLETE, elapsedMs: SERVICE_MS })
  await clock.advance(300)
  answers = []
}

// Guards against a retry that waits for one endpoint and holds up all requests behind it.
test('a request that may not run where a slot is free lets others pass, and gets the first slot that it may use', async () => {
  await begin()
  for (const name of ['1', '2', '3', '4']) ask(name)
  ask('notA', { excluded: ['a'] })
  ask('zoneA', { zones: ['za'] })
  const [a, b] = ['a', 'b'].map((id) => Number(answers.find((answer) => answer.endsWith(` ${id}`))?.split(' ')[1])) as [number, number]
  answers = []
  for (const grant of [a, b]) owner.release({ grant, outcome: SlotOutcome.COMPLETE, elapsedMs: SERVICE_MS })
  expect(answers).toEqual([expect.stringMatching(/^zoneA \d+ a$/), expect.stringMatching(/^notA \d+ b$/)])
})

// Guards against a refusal without which the caller would wait for the whole queue.
test('refuses a request at once that would wait too long, and one that has waited for too long', async () => {
  await begin()
  for (let index = 0; index < 4; index += 1) ask('busy')
  ask('later', { objectiveMs: 800 })
  ask('urgent', { objectiveMs: 10 })
  expect(answers.slice(4)).toEqual(['later queued', 'urgent refused 3002'])
  await clock.advance(399)
  owner.sweep()
  expect(answers.length).toBe(6)
  await clock.advance(1)
  owner.sweep()
  expect(answers.slice(6)).toEqual(['later refused 3002'])
  ask('no endpoint', { excluded: ['a', 'b'] })
  expect(answers.at(-1)).toBe('no endpoint refused 3001')
})

// Guards against slots that stay in use after the router that used them was lost, and against freeing them while requests still run.
test('counts the grants of a lost router for one more mean service time', async () => {
  await begin()
  for (let index = 0; index < 4; index += 1) ask('lost')
  owner.holderLost(HOLDER)
  await clock.advance(SERVICE_MS - 1)
  owner.sweep()
  expect(owner.inUse).toBe(4)
  await clock.advance(1)
  owner.sweep()
  expect(owner.inUse).toBe(0)
})

// Guards against slots that stay in use because a release did not arrive, and against a late release that counts twice.
test('counts a grant without a release for 500 ms at least, and knows it until its deadline', async () => {
  await begin()
  for (let index = 0; index < 4; index += 1) ask('lost')
  await clock.advance(499)
  owner.sweep()
  expect(owner.inUse).toBe(4)
  await clock.advance(1)
  owner.sweep()
  expect(owner.inUse).toBe(0)
  expect([2, 2].map((grant) => owner.release({ grant, outcome: SlotOutcome.COMPLETE, elapsedMs: 500 }))).toEqual([true, false])
  await clock.advance(3_500)
  owner.sweep()
  expect([owner.inUse, owner.hasWork]).toEqual([0, false])
})

// Guards against a new owner that grants slots which the last owner's requests still use.
test('a new owner grants the slots less the loads that the routers report, and queues nothing', () => {
  fleetLoads = { a: 1 }
  ask('1')
  ask('2')
  expect(answers).toEqual(['1 1 b', '2 refused 3012'])
})

// Guards against an endpoint that gets requests of the whole fleet although each router found it to fail.
test('skips an endpoint to which no connection could be made', async () => {
  await begin()
  ask('1', { zones: ['za'] })
  owner.release({ grant: 2, outcome: SlotOutcome.NOT_SENT, elapsedMs: 1 })
  answers = []
  ask('2')
  ask('3')
  expect(answers.map((answer) => answer.at(-1))).toEqual(['b', 'b'])
})
