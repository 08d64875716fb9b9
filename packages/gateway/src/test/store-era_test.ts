import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { StoreEra } from '@mimosarock/gateway/model/store-era.js'

function createEra () {
  const clock = { ms: 50_000, now (): number { return this.ms } }
  const era = new StoreEra(clock, new SilentEventLog())
  const changes: (number | undefined)[] = []
  era.onChange(() => changes.push(era.number))
  return { clock, era, changes }
}

test('the first era that the store states is no change; a newer one is, and a lower one is not', () => {
  const { clock, era, changes } = createEra()
  for (const number of [3, 3, 4, 3]) era.observe(number)
  expect([era.number, changes, era.changedAt]).toEqual([4, [4], clock.ms])
})

test('the store settles for some time after a change', () => {
  const { clock, era } = createEra()
  era.observe(3)
  expect(era.isSettling).toBe(false)
  era.observe(4)
  clock.ms += 2_000
  expect(era.isSettling).toBe(true)
  clock.ms += 200
  expect(era.isSettling).toBe(false)
})

test('a change that another router saw counts from the time at which that router saw it', () => {
  const { clock, era, changes } = createEra()
  era.observe(3)
  era.learn({ era: 4, changedAgoMs: 1_500 }, 'other')
  expect([era.number, changes, era.changedAt]).toEqual([4, [4], clock.ms - 1_500])
})

test('a newer era is a change also if the router that tells of it has not seen the change', () => {
  const { clock, era, changes } = createEra()
  era.observe(3)
  era.learn({ era: 4, changedAgoMs: undefined }, 'other')
  expect([changes, era.changedAt]).toEqual([[4], clock.ms])
})

test('a router that started after a change learns of it while the store settles', () => {
  const { clock, era, changes } = createEra()
  era.observe(4)
  era.learn({ era: 4, changedAgoMs: 900 }, 'other')
  era.learn({ era: 4, changedAgoMs: 900 }, 'other')
  expect([changes, era.changedAt]).toEqual([[4], clock.ms - 900])
})

test('a router that started long after a change does not count it', () => {
  const { era, changes } = createEra()
  era.observe(4)
  era.learn({ era: 4, changedAgoMs: 60_000 }, 'other')
  expect([changes, era.isSettling]).toEqual([[], false])
})

test('a router that has not read the store takes over the era it hears of', () => {
  const { era, changes } = createEra()
  era.learn({ era: 4, changedAgoMs: undefined }, 'other')
  expect([era.number, era.isSame({ era: 4, changedAgoMs: 7 }), changes]).toEqual([4, true, []])
})

test('an era that is stated only after answers without one is a change, since the store may have come back in between', () => {
  const { era, changes } = createEra()
  era.observeMissing()
  era.observe(1)
  era.observeMissing()
  era.observe(1)
  expect(changes).toEqual([1])
})

test('a router of a version that tells no era is listened to as one that knows none', () => {
  const { era, changes } = createEra()
  era.observe(3)
  era.learn(undefined, 'older')
  expect([era.number, changes, era.isSame(undefined)]).toEqual([3, [], false])
})
