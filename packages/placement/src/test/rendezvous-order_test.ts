import fc from 'fast-check'
import { expect, test } from 'vitest'
import { AffinityKey } from '../affinity-key.js'
import { RendezvousOrder } from '../rendezvous-order.js'

interface Member {
  name: string
  capacity: number
}

const endpoints = (count: number, capacity: (index: number) => number): Member[] =>
  Array.from({ length: count }, (_, index) => ({ name: `engine-${index}`, capacity: capacity(index) }))
const keys = Array.from({ length: 20_000 }, (_, index) => AffinityKey.forChat('alpha', `chat-${index}`))
const members = fc.uniqueArray(
  fc.record({ name: fc.string({ minLength: 1 }), capacity: fc.integer({ min: 1, max: 64 }) }),
  { selector: (member) => member.name, minLength: 1, maxLength: 40 })
const key = fc.integer({ min: 0 }).map((number) => AffinityKey.forChat('alpha', String(number)))

test('the order is independent of the order of the given members', () => {
  fc.assert(fc.property(members, key, (given, chosen) => {
    const order = new RendezvousOrder(given).first(chosen, given.length)
    expect(new RendezvousOrder([...given].reverse()).first(chosen, given.length)).toEqual(order)
    expect(new Set(order.map((member) => member.name)).size).toBe(given.length)
  }), { seed: 2 })
})

test('the first members are a prefix of the complete order', () => {
  fc.assert(fc.property(members, key, fc.integer({ min: 0, max: 40 }), (given, chosen, count) => {
    const order = new RendezvousOrder(given)
    expect(order.first(chosen, count)).toEqual(order.first(chosen, given.length).slice(0, count))
  }), { seed: 3 })
})

test('removing a member preserves the order of the remaining ones', () => {
  fc.assert(fc.property(members, key, fc.nat(), (given, chosen, pick) => {
    const removed = given[pick % given.length]
    const rest = given.filter((member) => member !== removed)
    const before = new RendezvousOrder(given).first(chosen, given.length)
    expect(new RendezvousOrder(rest).first(chosen, rest.length)).toEqual(before.filter((member) => member !== removed))
  }), { seed: 4 })
})

test.each([
  { name: 'equal capacities', capacity: () => 16 },
  { name: 'one engine four times as large', capacity: (index: number) => index === 0 ? 64 : 16 },
  { name: 'capacities from 1 to 13', capacity: (index: number) => index + 1 }
])('first ranks are distributed in proportion to capacity: $name', ({ capacity }) => {
  const given = endpoints(13, capacity)
  const order = new RendezvousOrder(given)
  const total = given.reduce((sum, member) => sum + member.capacity, 0)
  const firsts = new Map<string, number>()
  for (const each of keys) {
    const name = order.first(each, 1)[0]?.name ?? ''
    firsts.set(name, (firsts.get(name) ?? 0) + 1)
  }
  for (const member of given) {
    const expected = keys.length * member.capacity / total
    // Six standard deviations of a binomial count, with the mean as an upper bound on the variance.
    expect(Math.abs((firsts.get(member.name) ?? 0) - expected)).toBeLessThan(6 * Math.sqrt(expected))
  }
})

test('keys with the same first member distribute evenly over the second members', () => {
  const order = new RendezvousOrder(endpoints(13, () => 16))
  const seconds = new Map<string, number>()
  let count = 0
  for (const each of keys) {
    const [first, second] = order.first(each, 2)
    if (first?.name !== 'engine-3') continue
    count += 1
    seconds.set(second?.name ?? '', (seconds.get(second?.name ?? '') ?? 0) + 1)
  }
  expect(seconds.size).toBe(12)
  for (const found of seconds.values()) expect(Math.abs(found - count / 12)).toBeLessThan(6 * Math.sqrt(count / 12))
})

test('members without capacity are never selected', () => {
  expect(new RendezvousOrder([{ name: 'a', capacity: 0 }]).first('0123456789abcdef', 3)).toEqual([])
})
