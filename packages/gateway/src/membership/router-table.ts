import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RouterEntry } from '../model/router-entry.js'
import type { RouterContact } from './router-contact.js'

/** A router of which nothing was heard for so long is taken as gone. */
const FORGET_AFTER_MS = 12_000
/** The same in a large fleet, where routers tell each other of the others less often. */
const LARGE_FLEET_FORGET_AFTER_MS = 60_000
/** Routers from which on a fleet is large: one that reads for all would answer 250 questions a second. */
const LARGE_FLEET = 64
/** Key of the order in which routers are preferred as readers of the store. */
const READER_KEY = '00000000feed0001'

/** A router and when it was heard of. */
interface KnownRouter {
  readonly entry: RouterEntry
  heardAt: number
}

/** The routers of the fleet as far as this one has heard of them. */
export class RouterTable {
  private readonly _self: RouterEntry
  private readonly _clock: ElapsedClock
  private readonly _known = new Map<string, KnownRouter>()

  /**
   * @param self this router
   * @param clock dates what is heard
   */
  constructor (self: RouterEntry, clock: ElapsedClock) {
    this._self = self
    this._clock = clock
  }

  /** This router. */
  get self (): RouterEntry {
    return this._self
  }

  /** Number of routers that live, this one included. */
  get size (): number {
    this._forget()
    return this._known.size + 1
  }

  /**
   * Notes that a router was heard of.
   * @param entry the router
   * @param agoMs how long ago, in milliseconds
   */
  heard (entry: RouterEntry, agoMs: number): void {
    if (entry.name === this._self.name) return
    const heardAt = this._clock.now() - agoMs
    const known = this._known.get(entry.name)
    if (known === undefined || (known.entry.address !== entry.address && heardAt > known.heardAt)) {
      if (agoMs < this._forgetAfterMs) this._known.set(entry.name, { entry, heardAt })
      return
    }
    known.heardAt = Math.max(known.heardAt, heardAt)
  }

  /** All routers, this one included, in the order in which they should read the store for the others. */
  inReaderOrder (): readonly RouterEntry[] {
    this._forget()
    const entries = [this._self, ...[...this._known.values()].map((known) => known.entry)]
    const members = entries.map((entry) => ({ name: entry.name, capacity: 1, entry }))
    return new RendezvousOrder(members).first(READER_KEY, members.length).map((member) => member.entry)
  }

  /** Whether the fleet is so large that routers of an availability zone follow one of them instead of the fleet's reader. */
  get isLarge (): boolean {
    return this.size >= LARGE_FLEET
  }

  /** The routers of this one's availability zone, in the order in which they should ask the fleet's reader for the others. */
  inZoneOrder (): readonly RouterEntry[] {
    return this.inReaderOrder().filter(({ availabilityZone }) => availabilityZone === this._self.availabilityZone)
  }

  /** The routers for another one to know. */
  contacts (): RouterContact[] {
    this._forget()
    const now = this._clock.now()
    const others = [...this._known.values()].map(({ entry, heardAt }) => ({ ...entry, heardAgoMs: Math.ceil(now - heardAt) }))
    return [{ ...this._self, heardAgoMs: 0 }, ...others]
  }

  private get _forgetAfterMs (): number {
    return this._known.size + 1 < LARGE_FLEET ? FORGET_AFTER_MS : LARGE_FLEET_FORGET_AFTER_MS
  }

  private _forget (): void {
    const oldest = this._clock.now() - this._forgetAfterMs
    for (const [name, known] of this._known) {
      if (known.heardAt < oldest) this._known.delete(name)
    }
  }
}
