import type { Membership } from '../membership.js'
import type { RouterIdentity } from '../router-identity.js'
import type { EndpointReference } from './endpoint-reference.js'
import { hash32 } from './hash32.js'

interface Candidate {
  readonly identity: RouterIdentity
  readonly hash: number
}

interface Ownership {
  readonly reference: EndpointReference
  readonly hash: number
  owner: Candidate | undefined
  score: number
}

/**
 * Assigns each endpoint an owner router by rendezvous hashing. Candidates are the live routers that are not
 * leaving, restricted to those in the endpoint's availability zone if there are any. Routers with the same view of the
 * fleet assign the same owners.
 *
 * When one router changes, only the endpoints of its zone and of zones without a candidate are visited, instead of all
 * pairs of routers and endpoints.
 */
export class EndpointOwners {
  private readonly _membership: Membership
  private readonly _ownerships = new Map<string, Ownership>()
  private readonly _ownershipsByZone = new Map<string, Ownership[]>()
  private readonly _candidates = new Map<string, Candidate>()
  private readonly _candidatesByZone = new Map<string, Set<Candidate>>()
  private readonly _listeners = new Set<() => void>()
  private readonly _unsubscribe: () => void
  private _changed = false

  /**
   * @param membership source of the live routers and their changes
   */
  constructor (membership: Membership) {
    this._membership = membership
    this._unsubscribe = membership.onChange(() => this._applyMembership())
    this._applyMembership()
  }

  /**
   * Replaces all endpoints after a change of the configuration.
   * @param references the endpoints of all pools
   */
  setEndpoints (references: readonly EndpointReference[]): void {
    this._ownerships.clear()
    this._ownershipsByZone.clear()
    for (const reference of references) this._add(reference)
    this._changed = true
    this._notify()
  }

  /**
   * Returns the router that owns an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for an unknown endpoint, or if every live router is leaving
   */
  ownerOf (pool: string, endpoint: string): RouterIdentity | undefined {
    return this._ownerships.get(keyOf(pool, endpoint))?.owner?.identity
  }

  /**
   * Returns whether this router owns an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  isOwnedHere (pool: string, endpoint: string): boolean {
    return this.ownerOf(pool, endpoint)?.id === this._membership.self.id
  }

  /** Returns the endpoints that this router owns. */
  ownedHere (): EndpointReference[] {
    const selfId = this._membership.self.id
    return [...this._ownerships.values()]
      .filter((ownership) => ownership.owner?.identity.id === selfId)
      .map((ownership) => ownership.reference)
  }

  /**
   * Registers a listener for changes of owners.
   * @param listener called without arguments, after the change took effect
   * @returns a function that removes the listener
   */
  onChange (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /** Unsubscribes from the membership and removes all listeners. */
  close (): void {
    this._unsubscribe()
    this._listeners.clear()
  }

  private _add (reference: EndpointReference): void {
    const ownership: Ownership = { reference, hash: hash32(reference.address), owner: undefined, score: -1 }
    this._ownerships.set(keyOf(reference.pool, reference.endpoint), ownership)
    const zone = this._ownershipsByZone.get(reference.availabilityZone) ?? []
    zone.push(ownership)
    this._ownershipsByZone.set(reference.availabilityZone, zone)
    this._reassign(ownership)
  }

  private _applyMembership (): void {
    const eligible = new Map(this._membership.live().filter((router) => !router.leaving).map((router) => [router.id, router]))
    for (const [id, candidate] of [...this._candidates]) {
      const identity = eligible.get(id)
      if (identity === undefined || !hasSameLocation(identity, candidate.identity)) this._removeCandidate(candidate)
    }
    for (const identity of eligible.values()) {
      if (!this._candidates.has(identity.id)) this._addCandidate(identity)
    }
    this._notify()
  }

  private _addCandidate (identity: RouterIdentity): void {
    const candidate = { identity, hash: hash32(identity.id) }
    const zone = identity.availabilityZone
    const sameZone = this._candidatesByZone.get(zone) ?? new Set()
    this._candidatesByZone.set(zone, sameZone)
    this._candidates.set(identity.id, candidate)
    sameZone.add(candidate)
    for (const ownership of this._ownershipsAffectedBy(zone)) {
      // The first router of a zone takes over all of the zone's endpoints.
      const isFirstOfZone = sameZone.size === 1 && ownership.reference.availabilityZone === zone
      if (isFirstOfZone) this._setOwner(ownership, candidate, rendezvousScore(candidate, ownership))
      else this._assignIfPreferred(ownership, candidate)
    }
  }

  private _removeCandidate (candidate: Candidate): void {
    const zone = candidate.identity.availabilityZone
    const sameZone = this._candidatesByZone.get(zone)
    this._candidates.delete(candidate.identity.id)
    sameZone?.delete(candidate)
    if (sameZone?.size === 0) this._candidatesByZone.delete(zone)
    for (const ownership of this._ownershipsAffectedBy(zone)) {
      if (ownership.owner === candidate) this._reassign(ownership)
    }
  }

  /** Yields the endpoints of a zone and those of zones without a candidate, which any router may own. */
  private * _ownershipsAffectedBy (zone: string): Generator<Ownership> {
    for (const [otherZone, ownerships] of this._ownershipsByZone) {
      if (otherZone === zone || !this._candidatesByZone.has(otherZone)) yield * ownerships
    }
  }

  private _reassign (ownership: Ownership): void {
    const candidates = this._candidatesByZone.get(ownership.reference.availabilityZone) ?? this._candidates.values()
    this._setOwner(ownership, undefined, -1)
    for (const candidate of candidates) this._assignIfPreferred(ownership, candidate)
  }

  private _assignIfPreferred (ownership: Ownership, candidate: Candidate): void {
    const score = rendezvousScore(candidate, ownership)
    const winsTie = score === ownership.score && ownership.owner !== undefined && candidate.identity.id < ownership.owner.identity.id
    if (score > ownership.score || winsTie) this._setOwner(ownership, candidate, score)
  }

  private _setOwner (ownership: Ownership, owner: Candidate | undefined, ownerScore: number): void {
    ownership.owner = owner
    ownership.score = ownerScore
    this._changed = true
  }

  private _notify (): void {
    if (!this._changed) return
    this._changed = false
    for (const listener of this._listeners) listener()
  }
}

function hasSameLocation (left: RouterIdentity, right: RouterIdentity): boolean {
  return left.availabilityZone === right.availabilityZone && left.forwardAddress === right.forwardAddress && left.peerAddress === right.peerAddress
}

function keyOf (pool: string, endpoint: string): string {
  return `${pool}/${endpoint}`
}

// Mixes both hashes with the finalizer of MurmurHash3 (Appleby, 2011), which is cheaper than hashing a string for each pair.
function rendezvousScore (candidate: Candidate, ownership: Ownership): number {
  let mixed = candidate.hash ^ ownership.hash
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
