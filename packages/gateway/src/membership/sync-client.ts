import type { ElapsedClock } from '../model/elapsed-clock.js'
import { decodeLoads } from './decode-loads.js'
import type { FleetKnowledge } from './fleet-knowledge.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncCall } from './sync-call.js'
import type { SyncPurpose } from './sync-purpose.js'

/** Most notes in one request; the rest follows with the next one. */
const MAXIMUM_NOTES = 1_000
/** One request in so many tells the routers. */
const ROUTERS_EVERY = 8
/** Lists of endpoints that are remembered: of the router that is followed, and of some that are asked beside it. */
const ORDERS_KEPT = 4
/** Stands for all other routers in the loads; each answer replaces what the last one told of them. */
const FLEET = 'fleet'

/** Asks other routers for news and takes their answers in. */
export class SyncClient {
  private readonly _knowledge: FleetKnowledge
  private readonly _clock: ElapsedClock
  private readonly _call: SyncCall
  private readonly _learned: () => void
  private readonly _revisions = new Map<string, string>()
  private readonly _cursors = new Map<string, string>()
  private readonly _told = new Map<string, number>()
  private readonly _asked = new Map<string, number>()
  /** Identities of endpoints by the revision that lists them. */
  private readonly _orders = new Map<string, readonly string[]>()

  /**
   * @param knowledge takes the news
   * @param clock dates them
   * @param call sends a request
   * @param learned called after each answer
   */
  constructor (knowledge: FleetKnowledge, clock: ElapsedClock, call: SyncCall, learned: () => void) {
    this._knowledge = knowledge
    this._clock = clock
    this._call = call
    this._learned = learned
  }

  /**
   * Asks one router.
   * @param address of the router, host:port
   * @param purpose as what this router asks
   * @returns its answer, which has been taken in
   */
  async sync (address: string, { tellsLoad, followers }: SyncPurpose): Promise<SyncAnswer> {
    const { configuration, holders, loads, routers } = this._knowledge
    const told = this._told.get(address) ?? 0
    const news = holders.notesSince(told, MAXIMUM_NOTES)
    const sentAt = this._clock.now()
    const answer = await this._call(address, {
      router: routers.self,
      routers: this._tellsRouters(address) ? routers.contacts() : undefined,
      configurationVersion: configuration.version,
      endpointsRevision: this._revisions.get(address),
      load: tellsLoad ? loads.ownWith(followers) : {},
      notes: news.ownNotes,
      notesCursor: this._cursors.get(address)
    })
    this._told.set(address, news.cursor)
    this._takeIn(address, answer, sentAt, followers.length > 0)
    this._learned()
    return answer
  }

  /**
   * Takes the loads of all other routers. Only from the router that this one follows: others know a part of them, or
   * what they heard from this one.
   * @param answer of the router that is followed
   */
  takeLoad (answer: SyncAnswer): void {
    const order = this._orders.get(answer.endpointsRevision)
    if (order !== undefined) this._knowledge.loads.report(FLEET, decodeLoads(answer.load, order))
  }

  /** The first request to a router, and then one in some, tells the routers; else they would be most of the traffic. */
  private _tellsRouters (address: string): boolean {
    const asked = this._asked.get(address) ?? 0
    this._asked.set(address, asked + 1)
    return asked % ROUTERS_EVERY === 0
  }

  private _takeIn (address: string, answer: SyncAnswer, sentAt: number, isRelaying: boolean): void {
    const { configuration, routers, holders } = this._knowledge
    const passed = this._clock.now() - sentAt
    for (const router of answer.routers ?? []) routers.heard(router, router.heardAgoMs + passed)
    if (answer.configuration !== undefined) configuration.adopt(answer.configuration, answer.name)
    // The answer was made after the request was sent, so an age in it counts from that moment at the latest.
    if (answer.configurationAgeMs >= 0) configuration.verified(sentAt - answer.configurationAgeMs)
    this._takeEndpoints(address, answer, sentAt)
    for (const { key, endpointId } of answer.notes) {
      if (isRelaying) holders.relay(key, endpointId)
      else holders.learn(key, endpointId)
    }
    this._cursors.set(address, answer.notesCursor)
  }

  /** Remembers in which order an answer counts the endpoints. */
  private _noteOrder (answer: SyncAnswer): void {
    if (answer.endpoints === undefined) return
    this._orders.set(answer.endpointsRevision, answer.endpoints.map(({ id }) => id))
    if (this._orders.size > ORDERS_KEPT) this._orders.delete(this._orders.keys().next().value as string)
  }

  private _takeEndpoints (address: string, answer: SyncAnswer, sentAt: number): void {
    const { endpoints, endpointsFreshness } = this._knowledge
    const verifiedAt = sentAt - answer.endpointsAgeMs
    this._noteOrder(answer)
    if (answer.endpointsAgeMs < 0 || verifiedAt < endpointsFreshness.verifiedAt) {
      // Ours is newer: a list that came is not taken, and asked for again next time.
      if (answer.endpoints !== undefined) this._revisions.delete(address)
      return
    }
    endpointsFreshness.verifiedAt = verifiedAt
    if (answer.endpoints !== undefined) endpoints.replace(answer.endpoints, undefined)
    for (const other of this._revisions.keys()) if (other !== address) this._revisions.delete(other)
    this._revisions.set(address, answer.endpointsRevision)
  }
}
