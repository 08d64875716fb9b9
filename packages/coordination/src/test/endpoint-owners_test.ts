import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { Membership } from '../membership.js'
import { EndpointOwners } from '../membership/endpoint-owners.js'
import type { EndpointReference } from '../membership/endpoint-reference.js'
import type { RouterIdentity } from '../router-identity.js'

class FixedMembership implements Membership {
  routers: RouterIdentity[]
  private readonly _listeners = new Set<() => void>()

  constructor (routers: RouterIdentity[]) {
    this.routers = routers
  }

  get self (): RouterIdentity {
    return router('r0', 'a')
  }

  live (): readonly RouterIdentity[] {
    return this.routers
  }

  onChange (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  change (routers: RouterIdentity[]): void {
    this.routers = routers
    for (const listener of this._listeners) listener()
  }
}

function router (id: string, availabilityZone: string, leaving = false): RouterIdentity {
  return { id, availabilityZone, peerAddress: `${id}:1`, forwardAddress: `${id}:2`, leaving }
}

function endpoints (count: number, zones: readonly string[]): EndpointReference[] {
  return Array.from({ length: count }, (_, index) => ({
    pool: 'chat',
    endpoint: `e${index}`,
    address: `10.0.${index >> 8}.${index & 255}:80`,
    availabilityZone: zones[index % zones.length] ?? 'a'
  }))
}

const ownersOf = (owners: EndpointOwners, references: readonly EndpointReference[]): Array<string | undefined> =>
  references.map((reference) => owners.ownerOf(reference.pool, reference.endpoint)?.id)

const anyRouter = fc.record({ id: fc.integer({ min: 0, max: 15 }), zone: fc.constantFrom('a', 'b', 'c', 'd'), leaving: fc.boolean() })
const anyFleet = fc.uniqueArray(anyRouter, { selector: (item) => item.id, maxLength: 16 })
  .map((items) => items.map((item) => router(`r${item.id}`, item.zone, item.leaving)))

test('assigns the same owners after any membership history as after a fresh start, in the zone of the endpoint if possible', () => {
  const references = endpoints(40, ['a', 'b', 'c'])
  fc.assert(fc.property(fc.array(anyFleet, { minLength: 1, maxLength: 8 }), (history) => {
    const membership = new FixedMembership([])
    const followed = new EndpointOwners(membership)
    followed.setEndpoints(references)
    for (const fleet of history) membership.change(fleet)
    const last = history.at(-1) ?? []
    const fresh = new EndpointOwners(new FixedMembership([...last].reverse()))
    fresh.setEndpoints(references)
    expect(ownersOf(followed, references)).toEqual(ownersOf(fresh, references))
    const candidates = last.filter((item) => !item.leaving)
    for (const reference of references) {
      const owner = followed.ownerOf(reference.pool, reference.endpoint)
      const sameZone = candidates.some((item) => item.availabilityZone === reference.availabilityZone)
      expect(owner === undefined).toBe(candidates.length === 0)
      if (sameZone) expect(owner?.availabilityZone).toBe(reference.availabilityZone)
    }
  }), { seed: 11, numRuns: 300 })
})

test('reassigns only the endpoints of a lost router', () => {
  const references = endpoints(300, ['a'])
  const fleet = Array.from({ length: 8 }, (_, index) => router(`r${index}`, 'a'))
  const membership = new FixedMembership(fleet)
  const owners = new EndpointOwners(membership)
  owners.setEndpoints(references)
  const before = ownersOf(owners, references)
  const share = before.filter((id) => id === 'r5').length / references.length
  membership.change(fleet.filter((item) => item.id !== 'r5'))
  const after = ownersOf(owners, references)
  expect(share).toBeGreaterThan(0.05)
  expect(share).toBeLessThan(0.25)
  expect(after.filter((id, index) => id !== before[index] && before[index] !== 'r5')).toEqual([])
})

test('notifies listeners only when an owner changes', () => {
  const fleet = [router('r0', 'a'), router('r1', 'a')]
  const membership = new FixedMembership(fleet)
  const owners = new EndpointOwners(membership)
  owners.setEndpoints(endpoints(10, ['a']))
  let calls = 0
  owners.onChange(() => { calls += 1 })
  membership.change([...fleet])
  expect(calls).toBe(0)
  membership.change([router('r0', 'a'), router('r1', 'a', true)])
  expect(calls).toBe(1)
  expect(owners.ownedHere()).toHaveLength(10)
  expect(owners.isOwnedHere('chat', 'e3')).toBe(true)
})
