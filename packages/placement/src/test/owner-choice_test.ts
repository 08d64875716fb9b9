import { expect, test } from 'vitest'
import { OwnerChoice } from '../owner-choice.js'

const router = (id: string, availabilityZone: string, leaving = false) => ({ id, availabilityZone, leaving })
const fleet = ['a', 'b', 'c'].flatMap((zone) => [router(`${zone}1`, zone), router(`${zone}2`, zone)])
const names = Array.from({ length: 300 }, (_, index) => `chat/engine-${index}`)

test.each([
  { name: 'there are no routers', routers: [], zone: 'a', owners: [undefined] },
  { name: 'the zone has routers', routers: fleet, zone: 'b', owners: ['b1', 'b2'] },
  { name: 'the zone has no routers', routers: fleet.filter((each) => each.availabilityZone !== 'b'), zone: 'b', owners: ['a1', 'a2', 'c1', 'c2'] },
  { name: 'one router of the zone is leaving', routers: fleet.map((each) => ({ ...each, leaving: each.id === 'b1' })), zone: 'b', owners: ['b2'] },
  { name: 'all routers of the zone are leaving', routers: fleet.map((each) => ({ ...each, leaving: each.availabilityZone === 'b' })), zone: 'b', owners: ['a1', 'a2', 'c1', 'c2'] },
  { name: 'all routers are leaving', routers: [router('a1', 'a', true)], zone: 'b', owners: ['a1'] },
  { name: 'no zone is preferred', routers: fleet, zone: undefined, owners: ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'] }
])('selects the owners when $name', ({ routers, zone, owners }) => {
  const choice = new OwnerChoice(routers)
  const found = new Set(names.map((name) => choice.ownerOf(name, zone)?.id))
  expect([...found].sort()).toEqual(owners)
})

test('the departure of a router reassigns only the names that it owned', () => {
  const before = new OwnerChoice(fleet)
  const after = new OwnerChoice(fleet.filter((each) => each.id !== 'b1'))
  for (const name of names) {
    const owner = before.ownerOf(name, 'b')?.id
    if (owner !== 'b1') expect(after.ownerOf(name, 'b')?.id).toBe(owner)
  }
})
