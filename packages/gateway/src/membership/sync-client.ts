import type { ElapsedClock } from '../model/elapsed-clock.js'
import { decodeLoads } from './decode-loads.js'
import { EndpointMirror } from './endpoint-mirror.js'
import type { FleetKnowledge } from './fleet-knowledge.js'
import type { RouterContact } from './router-contact.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncCall } from './sync-call.js'
import type { SyncPurpose } from './sync-purpose.js'

/** Most notes in one request; the rest follows with the next one. */
const MAXIMUM_NOTES = 1_000
/** One request in so many tells the routers. */
const ROUTERS_EVERY = 8
/** The same in a large fleet, where they are many. */
const LARGE_FLEET_ROUTERS_EVERY = 32
/** Other routers whose endpoints are remembered: the one that is followed, and some that are asked beside it. */
const MIRRORS_KEPT = 4
/** Stands for all other routers in the loads; each answer replaces what the last one told of them. */
const FLEET = 'fleet'

/** Asks other routers for news and takes their answers in. */
export class SyncClient {
  private readonly _knowledge: FleetKnowledge
  private readonly _clock: ElapsedClock
  private readonly _call: SyncCall
  private readonly _learned: () => void
  private readonly _cursors = new Map<string, string>()
  private readonly _told = new Map<string, number>()
  private readonly _asked = new Map<string, number>()
  private readonly _mirrors = new Map<string, EndpointMirror>()
  /** The other router's revision that was taken over last, and this router's own revision since. */
  private _takenRevision: string | undefined
  private _revisionAfterTaking = -1

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
      routers: this._tellsRouters(address) ? this._contacts(followers) : undefined,
      configurationVersion: configuration.version,
      endpointsRevision: this._mirrors.get(address)?.revision,
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
   * @param address of the router that is followed
   * @param answer of that router
   */
  takeLoad (address: string, answer: SyncAnswer): void {
    const mirror = this._mirrors.get(address)
    if (mirror?.revision === answer.endpointsRevision) this._knowledge.loads.report(FLEET, decodeLoads(answer.load, mirror.ids))
  }

  /** In a large fleet a router tells of those only for which it asks: whom it follows knows of the others. */
  private _contacts (followers: readonly string[]): readonly RouterContact[] {
    const { routers } = this._knowledge
    const contacts = routers.contacts()
    return routers.isLarge ? contacts.filter(({ name }) => followers.includes(name)) : contacts
  }

  /** The first request to a router, and then one in some, tells the routers; else they would be most of the traffic. */
  private _tellsRouters (address: string): boolean {
    const asked = this._asked.get(address) ?? 0
    this._asked.set(address, asked + 1)
    return asked % (this._knowledge.routers.isLarge ? LARGE_FLEET_ROUTERS_EVERY : ROUTERS_EVERY) === 0
  }

  private _takeIn (address: string, answer: SyncAnswer, sentAt: number, isRelaying: boolean): void {
    const { configuration, routers, holders } = this._knowledge
    const passed = this._clock.now() - sentAt
    for (const router of answer.routers ?? []) routers.heard(router, router.heardAgoMs + passed)
    if (answer.configuration !== undefined) configuration.adopt(answer.configuration, answer.name)
    if (answer.configurationPatches !== undefined) configuration.adoptPatches(answer.configurationPatches, answer.name)
    // The answer was made after the request was sent, so an age in it counts from that moment at the latest.
    if (answer.configurationAgeMs >= 0) configuration.verified(sentAt - answer.configurationAgeMs)
    this._takeEndpoints(address, answer, sentAt)
    for (const { key, endpointId } of answer.notes) {
      if (isRelaying) holders.relay(key, endpointId)
      else holders.learn(key, endpointId)
    }
    this._cursors.set(address, answer.notesCursor)
  }

  private _takeEndpoints (address: string, answer: SyncAnswer, sentAt: number): void {
    const { endpoints, endpointsFreshness } = this._knowledge
    const mirror = this._mirror(address)
    mirror.take(answer)
    const verifiedAt = sentAt - answer.endpointsAgeMs
    // Ours may be newer.
    if (answer.endpointsAgeMs < 0 || verifiedAt < endpointsFreshness.verifiedAt) return
    endpointsFreshness.verifiedAt = verifiedAt
    const isUnchanged = this._takenRevision === answer.endpointsRevision && this._revisionAfterTaking === endpoints.revision
    if (isUnchanged) return
    endpoints.replace(mirror.entries, undefined)
    this._takenRevision = answer.endpointsRevision
    this._revisionAfterTaking = endpoints.revision
  }

  private _mirror (address: string): EndpointMirror {
    let mirror = this._mirrors.get(address)
    if (mirror === undefined) {
      mirror = new EndpointMirror()
      this._mirrors.set(address, mirror)
      if (this._mirrors.size > MIRRORS_KEPT) this._mirrors.delete(this._mirrors.keys().next().value as string)
    }
    return mirror
  }
}
