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
 * The owner router of each endpoint: the highest score by rendezvous over the live routers that do not leave,
 * of the endpoint's availability zone if any is live there. Routers with the same view choose the same owner.
 *
 * A change of one router costs a look at the endpoints of its zone, not at all pairs.
 */
export class EndpointOwners {
  private readonly _membership: Membership
  private readonly _ownerships = new Map<string, Ownership>()
  private readonly _byZone = new Map<string, Ownership[]>()
  private readonly _candidates = new Map<string, Candidate>()
  private readonly _candidatesByZone = new Map<string, Set<Candidate>>()
  private readonly _listeners = new Set<() => void>()
  private readonly _unsubscribe: () => void
  private _changed = false

  /**
   * @param membership tells which routers are live
   */
  constructor (membership: Membership) {
    this._membership = membership
    this._unsubscribe = membership.onChange(() => this._followMembership())
    this._followMembership()
  }

  /**
   * Replaces the endpoints, after a change of the configuration.
   * @param references every endpoint of every pool
   */
  setEndpoints (references: readonly EndpointReference[]): void {
    this._ownerships.clear()
    this._byZone.clear()
    for (const reference of references) this._add(reference)
    this._changed = true
    this._notify()
  }

  /**
   * The router that owns an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for an unknown endpoint, or if every router leaves
   */
  ownerOf (pool: string, endpoint: string): RouterIdentity | undefined {
    return this._ownerships.get(keyOf(pool, endpoint))?.owner?.identity
  }

  /**
   * Whether this router owns an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  isOwnedHere (pool: string, endpoint: string): boolean {
    return this.ownerOf(pool, endpoint)?.id === this._membership.self.id
  }

  /** The endpoints that this router owns. */
  ownedHere (): EndpointReference[] {
    const selfId = this._membership.self.id
    return [...this._ownerships.values()]
      .filter((ownership) => ownership.owner?.identity.id === selfId)
      .map((ownership) => ownership.reference)
  }

  /**
   * Calls back after each change of owners.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onChange (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /** Stops following the membership. */
  close (): void {
    this._unsubscribe()
    this._listeners.clear()
  }

  private _add (reference: EndpointReference): void {
    const ownership: Ownership = { reference, hash: hash32(reference.address), owner: undefined, score: -1 }
    this._ownerships.set(keyOf(reference.pool, reference.endpoint), ownership)
    const zone = this._byZone.get(reference.availabilityZone) ?? []
    zone.push(ownership)
    this._byZone.set(reference.availabilityZone, zone)
    this._chooseAgain(ownership)
  }

  private _followMembership (): void {
    const wanted = new Map(this._membership.live().filter((router) => !router.leaving).map((router) => [router.id, router]))
    for (const [id, candidate] of [...this._candidates]) {
      const identity = wanted.get(id)
      if (identity === undefined || !isSamePlace(identity, candidate.identity)) this._removeCandidate(candidate)
    }
    for (const identity of wanted.values()) {
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
    for (const ownership of this._affectedBy(zone)) {
      // The first router of a zone takes over all of the zone's endpoints.
      const first = sameZone.size === 1 && ownership.reference.availabilityZone === zone
      if (first) this._setOwner(ownership, candidate, score(candidate, ownership))
      else this._offer(ownership, candidate)
    }
  }

  private _removeCandidate (candidate: Candidate): void {
    const zone = candidate.identity.availabilityZone
    const sameZone = this._candidatesByZone.get(zone)
    this._candidates.delete(candidate.identity.id)
    sameZone?.delete(candidate)
    if (sameZone?.size === 0) this._candidatesByZone.delete(zone)
    for (const ownership of this._affectedBy(zone)) {
      if (ownership.owner === candidate) this._chooseAgain(ownership)
    }
  }

  /** Endpoints of the zone and of zones without a router, which may be owned from any zone. */
  private * _affectedBy (zone: string): Generator<Ownership> {
    for (const [otherZone, ownerships] of this._byZone) {
      if (otherZone === zone || !this._candidatesByZone.has(otherZone)) yield * ownerships
    }
  }

  private _chooseAgain (ownership: Ownership): void {
    const candidates = this._candidatesByZone.get(ownership.reference.availabilityZone) ?? this._candidates.values()
    this._setOwner(ownership, undefined, -1)
    for (const candidate of candidates) this._offer(ownership, candidate)
  }

  private _offer (ownership: Ownership, candidate: Candidate): void {
    const offered = score(candidate, ownership)
    const tie = offered === ownership.score && ownership.owner !== undefined && candidate.identity.id < ownership.owner.identity.id
    if (offered > ownership.score || tie) this._setOwner(ownership, candidate, offered)
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

function isSamePlace (left: RouterIdentity, right: RouterIdentity): boolean {
  return left.availabilityZone === right.availabilityZone && left.forwardAddress === right.forwardAddress && left.peerAddress === right.peerAddress
}

function keyOf (pool: string, endpoint: string): string {
  return `${pool}/${endpoint}`
}

// Finalizer of MurmurHash3 (Appleby, 2011) over both hashes: one multiplication chain in place of a text hash.
function score (candidate: Candidate, ownership: Ownership): number {
  let mixed = candidate.hash ^ ownership.hash
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
