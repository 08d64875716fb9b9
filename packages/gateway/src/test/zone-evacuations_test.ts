import * as fc from 'fast-check'
import { beforeEach, expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import type { EraEvacuations } from '@mimosarock/gateway/evacuation/era-evacuations.js'
import { EvacuationReadings } from '@mimosarock/gateway/evacuation/evacuation-readings.js'
import { UnknownZoneWarning } from '@mimosarock/gateway/evacuation/unknown-zone-warning.js'
import { ZoneEvacuations } from '@mimosarock/gateway/evacuation/zone-evacuations.js'
import { ConfigurationTransfer } from '@mimosarock/gateway/transfers/configuration-transfer.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import { SyncClient } from '@mimosarock/gateway/membership/sync-client.js'
import type { SyncRequest } from '@mimosarock/gateway/membership/sync-request.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { StoreEra } from '@mimosarock/gateway/model/store-era.js'
import { createPeerCalls } from './create-peer-calls.js'
import { createFleetState } from './create-fleet-state.js'

const ZONES = ['za', 'zb', 'zc']
const SETTLED_MS = 2_200

let clock: { ms: number, now: () => number }
let lines: string[]
let era: StoreEra
let evacuations: ZoneEvacuations
let readings: EvacuationReadings

beforeEach(() => {
  clock = { ms: 50_000, now: () => clock.ms }
  lines = []
  const log = (event: string, fields: Readonly<Record<string, unknown>> = {}): void => { lines.push([event, ...Object.values(fields)].join(' ')) }
  era = new StoreEra(clock, { info: log, warn: log })
  evacuations = new ZoneEvacuations(era, { info: log, warn: log })
  readings = new EvacuationReadings(evacuations, era)
})

/** Lets the router read the store: a snapshot, or changes of zones that are named with a minus when their records are deleted. */
function read (number: number, offset: number, zones: readonly string[], isSnapshot = false): void {
  era.observe(number)
  const changes = zones.map((text) => ({ key: text, value: { zone: text.replace('-', ''), isEvacuated: !text.startsWith('-') } }))
  readings.apply({ changes, nextPosition: { era: number, offset }, isSnapshot }, clock.ms)
}

const zones = (): string[] => [...evacuations.zones].sort()

test('a record evacuates a zone and its deletion ends that; an older statement of another router changes neither', () => {
  read(1, 10, ['za'], true)
  const asOf10 = evacuations.news
  read(1, 11, ['zb'])
  evacuations.learn(asOf10, 'other', false)
  expect(zones()).toEqual(['za', 'zb'])
  read(1, 12, ['-za'])
  evacuations.learn(asOf10, 'other', false)
  expect([zones(), lines]).toEqual([['zb'], ['zone-evacuated za store', 'zone-evacuated zb store', 'zone-restored za store']])
})

// After a compaction, nothing but the absence of the key shows that a record was deleted.
test('the newest values of all keys, read after a compaction, end evacuations that they lack and keep the others', () => {
  read(1, 10, ['za', 'zb'], true)
  read(1, 500, ['zb'], true)
  expect(zones()).toEqual(['zb'])
})

// Pages of a snapshot are read one after the other, so two routers can read different zones as of the same offset.
test('of two snapshots with the same offset, the zones of both are evacuated until a later record decides', () => {
  read(1, 10, ['za'], true)
  evacuations.learn([{ era: 1, offset: 10, zones: ['zb'], isSettled: true }], 'other', true)
  expect(zones()).toEqual(['za', 'zb'])
  read(1, 11, ['-zb'])
  expect(zones()).toEqual(['za'])
})

test('an older copy without the record ends no evacuation while the store settles, one with another record adds that', () => {
  read(1, 10, ['za'], true)
  read(2, 5, ['zb'], true)
  expect(zones()).toEqual(['za', 'zb'])
  clock.ms += SETTLED_MS
  read(2, 5, [])
  expect(zones()).toEqual(['zb'])
})

// Guards against an evacuation that ends although the operator wrote the record again, because the store could not be read meanwhile.
test('the end of the settling time alone ends no evacuation, if the store could not be read since', () => {
  read(1, 10, ['za'], true)
  read(2, 5, [], true)
  clock.ms += SETTLED_MS
  expect(zones()).toEqual(['za'])
  read(2, 6, ['za'])
  expect(zones()).toEqual(['za'])
  read(2, 7, ['-za'])
  expect(zones()).toEqual([])
})

// Guards against a router that starts while the store settles, reads the copy without the record and ends the evacuation on all others.
test('a router that has read the store as if it were settled is not believed while it settles, and a seed corrects it', () => {
  const startingEra = new StoreEra(clock, new SilentEventLog())
  const starting = new ZoneEvacuations(startingEra, new SilentEventLog())
  startingEra.observe(2)
  starting.recordReading({ era: 2, offset: 5, zones: [], isSettled: true })
  read(1, 10, ['za'], true)
  read(2, 5, [], true)
  evacuations.learn(starting.newsFor([]), 'starting', false)
  startingEra.learn(era.news, 'seed')
  starting.learn(evacuations.newsFor([]), 'seed', true)
  expect([zones(), [...starting.zones]]).toEqual([['za'], ['za']])
  clock.ms += SETTLED_MS
  read(2, 5, [])
  starting.learn(evacuations.news, 'seed', true)
  expect([zones(), [...starting.zones]]).toEqual([[], []])
})

test('what was read in a new era before its change was known does not count as settled', () => {
  era.observe(2)
  readings.apply({ changes: [], nextPosition: { era: 2, offset: 5 }, isSnapshot: true }, clock.ms)
  era.learn({ era: 2, changedAgoMs: 400 }, 'seed')
  evacuations.learn([{ era: 2, offset: 5, zones: [], isSettled: false }, { era: 1, offset: 10, zones: ['za'], isSettled: true }], 'seed', true)
  expect(zones()).toEqual(['za'])
})

/** What a store holds as of each of a series of records and returns from older copies; each later state follows from an earlier one. */
const histories = fc.array(fc.record({ zone: fc.constantFrom(...ZONES), isEvacuated: fc.boolean(), isNewEra: fc.boolean(), isSettled: fc.boolean() }), { minLength: 1, maxLength: 12 })
  .map((records) => {
    const states: EraEvacuations[] = []
    const stored = new Set<string>()
    let number = 1
    let offset = 20
    let isSettled = true
    for (const record of records) {
      if (record.isNewEra) [number, offset, isSettled] = [number + 1, Math.max(0, offset - 5), false]
      isSettled ||= record.isSettled
      offset += 1
      if (record.isEvacuated) stored.add(record.zone)
      else stored.delete(record.zone)
      states.push({ era: number, offset, zones: [...stored].sort(), isSettled })
    }
    return states
  })

// Guards against routers that agree on too few zones: until the store was read after it had settled, those of the eras before count as well.
test('routers that hear of changes in any order, some of them not at all, agree on the zones that count once they have told each other', () => {
  fc.assert(fc.property(histories, fc.array(fc.array(fc.nat(11), { maxLength: 12 }), { minLength: 2, maxLength: 5 }), (states, orders) => {
    const routers = orders.map(() => new ZoneEvacuations(new StoreEra(clock, new SilentEventLog()), new SilentEventLog()))
    routers.forEach((router, index) => {
      for (const position of orders[index] ?? []) router.recordReading(states[position % states.length] as EraEvacuations)
    })
    const inTurn = [...routers, ...routers]
    for (const [index, router] of inTurn.entries()) {
      for (const other of inTurn.slice(0, index)) {
        router.learn(other.newsFor([]), 'other', true)
        other.learn(router.newsFor([]), 'other', false)
      }
    }
    const heard = states.filter((_, position) => orders.some((order) => order.some((number) => number % states.length === position)))
    const newestOfEras = heard.filter(({ era }, index) => heard[index + 1]?.era !== era).reverse()
    const newestSettled = newestOfEras.findIndex(({ isSettled }) => isSettled)
    const counting = newestSettled < 0 ? newestOfEras : newestOfEras.slice(0, newestSettled + 1)
    const expected = [...new Set(counting.flatMap((state) => state.zones))].sort()
    expect(routers.map((router) => [...router.zones].sort())).toEqual(routers.map(() => expected))
  }), { seed: 11, numRuns: 400 })
})

// A deployment without evacuations must not pay for them in each message.
test('routers tell each other nothing until one has heard of an evacuation, but answer a router that starts', () => {
  expect([evacuations.isKnown, evacuations.news, evacuations.newsFor(undefined)]).toEqual([false, [], undefined])
  read(1, 10, [], true)
  expect([evacuations.news, evacuations.newsFor(undefined)]).toEqual([undefined, undefined])
  expect(evacuations.newsFor([])).toEqual([{ era: 1, offset: 10, zones: [], isSettled: true }])
  read(1, 11, ['za'])
  read(1, 12, ['-za'])
  const told = JSON.parse(JSON.stringify(evacuations.newsFor(undefined)))
  expect(told).toEqual([{ era: 1, offset: 12, zones: [], isSettled: true }])
  expect(evacuations.newsFor(told)).toBeUndefined()
})

// Guards against a router that reads the store itself, since it was cut off, and does not tell the others what they cannot read.
test('a router tells the one that it syncs with what it has read, and learns from it', async () => {
  const [follower, reader] = [createFleetState('follower', clock), createFleetState('reader', clock)]
  const server = new SyncServer(reader, 'i', () => clock.ms, () => 0)
  const answers: SyncAnswer[] = []
  const call = async (_: string, request: SyncRequest): Promise<SyncAnswer> => {
    answers.push(JSON.parse(JSON.stringify(server.answer(JSON.parse(JSON.stringify(request))))))
    return answers.at(-1) as SyncAnswer
  }
  const transfer = new ConfigurationTransfer(follower.configuration, async () => await Promise.reject(new Error('unused')), clock, new SilentEventLog())
  const client = new SyncClient(follower, clock, createPeerCalls(call), transfer, () => undefined)
  follower.evacuations.recordReading({ era: 1, offset: 11, zones: ['za'], isSettled: true })
  reader.evacuations.recordReading({ era: 1, offset: 10, zones: ['zb'], isSettled: true })
  await client.sync('reader', { reportsLoad: true, followers: [] })
  expect([[...reader.evacuations.zones], [...follower.evacuations.zones], answers[0]?.evacuations]).toEqual([['za'], ['za'], undefined])
  reader.evacuations.recordReading({ era: 1, offset: 12, zones: [], isSettled: true })
  await client.sync('reader', { reportsLoad: true, followers: [] })
  expect([...follower.evacuations.zones]).toEqual([])
})

test('listeners hear of each start and end once; news of the followed router is not told back to it', () => {
  const heard: string[] = []
  evacuations.listen({ zoneEvacuated: (zone) => heard.push(`+${zone}`), zoneRestored: (zone) => heard.push(`-${zone}`) })
  evacuations.onNews(() => heard.push('news'))
  read(1, 10, ['za'], true)
  read(1, 10, [])
  evacuations.learn([{ era: 1, offset: 11, zones: [], isSettled: true }], 'upstream', true)
  expect(heard).toEqual(['+za', 'news', '-za'])
})

test('a zone without endpoints and routers is evacuated with one warning, and with another one when it is evacuated again', () => {
  const warning = new UnknownZoneWarning(evacuations, (zone) => zone === 'za', { info: () => undefined, warn: (event, fields) => lines.push(`${event} ${String(fields?.zone)}`) })
  read(1, 10, ['za', 'zx'], true)
  for (let count = 0; count < 3; count += 1) warning.check()
  expect(zones()).toEqual(['za', 'zx'])
  read(1, 12, ['-zx'])
  read(1, 13, ['zx'])
  warning.check()
  expect(lines.filter((line) => line.startsWith('zone-unknown'))).toEqual(['zone-unknown zx', 'zone-unknown zx'])
})
