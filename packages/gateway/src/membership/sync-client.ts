import type { ElapsedClock } from '../model/elapsed-clock.js'
import { ConfigurationExchange } from '../transfers/configuration-exchange.js'
import type { ConfigurationNews } from '../transfers/configuration-news.js'
import type { ConfigurationTransfer } from '../transfers/configuration-transfer.js'
import { decodeLoads } from './decode-loads.js'
import type { EndpointMirror } from './endpoint-mirror.js'
import { EndpointMirrors } from './endpoint-mirrors.js'
import type { FleetState } from './fleet-state.js'
import { LimitExchange } from './limit-exchange.js'
import { OUTAGE_THRESHOLD_MS } from './outage-threshold-ms.js'
import { OutlierExchange } from './outlier-exchange.js'
import type { PeerCalls } from './peer-calls.js'
import { QuarantineExchange } from './quarantine-exchange.js'
import type { RouterContact } from './router-contact.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncOptions } from './sync-options.js'

/** Maximum number of holder notes in one request; the remaining ones follow in the next request. */
const MAXIMUM_NOTES = 1_000
/** One in this many requests to a router includes the list of known routers. */
const REQUESTS_PER_ROUTER_LIST = 8
/** One in this many requests to a router includes the list of known routers in a large fleet, where the list is long. */
const LARGE_FLEET_REQUESTS_PER_ROUTER_LIST = 32

/** What a request is based on, which its answer refers to. */
interface RequestBasis {
  /** Time at which the request was sent, by the clock. */
  readonly sentAt: number
  /** Copy of the endpoints of the other router. */
  readonly mirror: EndpointMirror
  /** Revision of that copy when the request was sent. */
  readonly endpointsRevision: string | undefined
}

/** Sends sync requests to other routers and applies their answers. */
export class SyncClient {
  private readonly _state: FleetState
  private readonly _clock: ElapsedClock
  private readonly _calls: PeerCalls
  private readonly _onAnswer: () => void
  /** Positions reached in the holder notes of other routers, by address. */
  private readonly _receivedCursors = new Map<string, string>()
  /** Positions up to which the holder notes of this router were sent to other routers, by address. */
  private readonly _sentCursors = new Map<string, number>()
  /** Number of requests sent to other routers, by address. */
  private readonly _requestCounts = new Map<string, number>()
  private readonly _mirrors = new EndpointMirrors()
  /** Last applied endpoint revision of another router, and the revision of this router's endpoints afterwards. */
  private _appliedRevision: string | undefined
  private _localRevisionAfterApply = -1
  /** Time as of which the endpoints were verified by the last applied answer. */
  private _appliedVerifiedAt = -Infinity
  private readonly _configurationExchange: ConfigurationExchange
  private readonly _quarantineExchange: QuarantineExchange
  private readonly _limitExchange: LimitExchange
  private readonly _outlierExchange: OutlierExchange

  /**
   * @param state state to which answers are applied
   * @param clock clock for the age of received state
   * @param calls calls to other routers
   * @param transfer transfers large changes of the configuration
   * @param onAnswer called after each applied answer
   */
  constructor (state: FleetState, clock: ElapsedClock, calls: PeerCalls, transfer: ConfigurationTransfer, onAnswer: () => void) {
    this._state = state
    this._configurationExchange = new ConfigurationExchange(state, transfer)
    this._quarantineExchange = new QuarantineExchange(state.quarantine)
    this._limitExchange = new LimitExchange(state, clock)
    this._outlierExchange = new OutlierExchange(state.outliers)
    this._clock = clock
    this._calls = calls
    this._onAnswer = onAnswer
  }

  /** Whether the last answer announced a large change of the configuration that no router was free to send. */
  get isAwaitingSource (): boolean {
    return this._configurationExchange.isAwaitingSource
  }

  /** Whether this router knows that it lacks a version of the configuration. */
  get isAwaitingVersion (): boolean {
    return this._configurationExchange.isAwaitingVersion
  }

  /** Whether this router has lacked a version for some time and no router is sending it in time. */
  get isSourceOverdue (): boolean {
    return this._configurationExchange.isSourceOverdue
  }

  /**
   * Asks a router for a newer configuration, or a source of it, and for nothing else: several are asked while the links are busy with that version.
   * @param address address of the router, host:port
   * @returns the applied answer
   */
  async findSource (address: string): Promise<ConfigurationNews> {
    const sentAt = this._clock.now()
    const news = await this._calls.configurationNews(address, this._configurationExchange.requestFields())
    this._configurationExchange.apply(address, news, sentAt)
    this._onAnswer()
    return news
  }

  /**
   * Sends a sync request to one router and applies its answer, except for what `applyFollowed` applies.
   * @param address address of the router, host:port
   * @param options what the request includes
   * @returns the applied answer
   */
  async sync (address: string, { reportsLoad, followers }: SyncOptions): Promise<SyncAnswer> {
    const { evacuations, holders, loads, routers } = this._state
    const sentCursor = this._sentCursors.get(address) ?? 0
    const holderChanges = holders.notesSince(sentCursor, MAXIMUM_NOTES)
    const quarantineNews = this._quarantineExchange.prepareRequest(address)
    const mirror = this._mirrors.use(address)
    const basis = { sentAt: this._clock.now(), mirror, endpointsRevision: mirror.revision }
    const answer = await this._calls.sync(address, {
      ...this._configurationExchange.requestFields(),
      routers: this._includesRouters(address) ? this._contacts(followers) : undefined,
      routerCount: routers.size,
      evacuations: evacuations.news,
      endpointsRevision: basis.endpointsRevision,
      load: reportsLoad ? loads.localLoads() : {},
      relayedLoads: reportsLoad ? loads.relayedReports() : undefined,
      notes: holderChanges.changesForUpstream,
      notesCursor: this._receivedCursors.get(address),
      ...quarantineNews.fields,
      ...(reportsLoad ? this._limitExchange.requestFields(address) : {}),
      demand: reportsLoad ? this._state.fairness.demand() : undefined,
      ...(reportsLoad ? this._outlierExchange.requestFields(address, followers) : {})
    })
    quarantineNews.confirm()
    this._quarantineExchange.applyAnswer(address, answer, reportsLoad)
    this._limitExchange.learn(answer, basis.sentAt)
    this._sentCursors.set(address, holderChanges.cursor)
    this._mirrors.keep(address, mirror)
    this._applyAnswer(address, answer, basis)
    evacuations.learn(answer.evacuations, answer.name, reportsLoad)
    this._onAnswer()
    return answer
  }

  /**
   * Applies the loads and the new holders of an answer. To be called only for the router that this one follows: other
   * routers know the loads of a part of the fleet, or loads that they received from this router. Holders that were learned
   * aside of the way by which they spread would not be passed on by it.
   * @param address address of the followed router
   * @param answer answer of that router
   * @param isRelaying whether this router passes on the holders to followers of its own
   */
  applyFollowed (address: string, answer: SyncAnswer, isRelaying: boolean): void {
    const { holders, loads } = this._state
    const mirror = this._mirrors.find(address)
    if (mirror?.revision === answer.endpointsRevision) loads.reportFleet(decodeLoads(answer.load, mirror.ids), answer.loadRouters)
    for (const { key, endpointId } of answer.notes) {
      if (isRelaying) holders.relay(key, endpointId)
      else holders.learn(key, endpointId)
    }
    this._receivedCursors.set(address, answer.notesCursor)
    this._limitExchange.applyFollowed(address, answer)
    this._state.fairness.adopt(answer.workspaceShares ?? [])
    this._outlierExchange.applyFollowed(address, answer)
  }

  /**
   * Returns the routers to list in a request. In a large fleet these are only the followers, since the source knows all
   * other routers.
   */
  private _contacts (followers: readonly string[]): readonly RouterContact[] {
    const { routers } = this._state
    const contacts = routers.contacts()
    return routers.isLarge ? contacts.filter(({ name }) => followers.includes(name)) : contacts
  }

  /**
   * Whether a request includes the known routers: the first one to a router, and then one in every few. Otherwise the
   * list would make up most of the traffic.
   */
  private _includesRouters (address: string): boolean {
    const requestCount = this._requestCounts.get(address) ?? 0
    this._requestCounts.set(address, requestCount + 1)
    return requestCount % (this._state.routers.isLarge ? LARGE_FLEET_REQUESTS_PER_ROUTER_LIST : REQUESTS_PER_ROUTER_LIST) === 0
  }

  private _applyAnswer (address: string, answer: SyncAnswer, basis: RequestBasis): void {
    const { storeEra, routers } = this._state
    const { sentAt } = basis
    this._configurationExchange.apply(address, answer, sentAt)
    const elapsedMs = this._clock.now() - sentAt
    for (const router of answer.routers ?? []) routers.recordContact(router, router.heardAgoMs + elapsedMs)
    // Endpoints of an earlier era say nothing about what the store holds now.
    if (storeEra.isSame(answer.storeEra)) this._applyEndpoints(answer, basis)
  }

  private _applyEndpoints (answer: SyncAnswer, { sentAt, mirror, endpointsRevision }: RequestBasis): void {
    const { endpoints, endpointsFreshness } = this._state
    const isApplied = mirror.apply(answer, endpointsRevision)
    const verifiedAt = sentAt - answer.endpointsAgeMs
    if (answer.endpointsAgeMs < 0) return
    const origin = { source: answer.name, asOf: verifiedAt }
    for (const removal of answer.removedEndpoints ?? []) endpoints.recordRemoval(removal, origin)
    for (const { removal } of answer.endpointChanges ?? []) if (removal !== undefined) endpoints.recordRemoval(removal, origin)
    this._learnOutage(answer, sentAt)
    if (!isApplied) return
    // The endpoints of this router may be more recent.
    if (verifiedAt < endpointsFreshness.verifiedAt && !this._followsLastApplied(answer)) return
    endpointsFreshness.verifiedAt = Math.max(verifiedAt, endpointsFreshness.verifiedAt)
    this._appliedVerifiedAt = endpointsFreshness.verifiedAt
    const isUnchanged = this._appliedRevision === answer.endpointsRevision && this._localRevisionAfterApply === endpoints.revision
    if (isUnchanged) return
    endpoints.adopt(mirror.entries, origin)
    this._appliedRevision = answer.endpointsRevision
    this._localRevisionAfterApply = endpoints.revision
  }

  /** Learns of an outage in which this router has not heard of the store either: what it reads then may lack endpoints that run. */
  private _learnOutage ({ outageEndedAgoMs }: SyncAnswer, sentAt: number): void {
    const { endpointsFreshness } = this._state
    if (outageEndedAgoMs === undefined) return
    const endedAt = sentAt - outageEndedAgoMs
    if (endedAt - endpointsFreshness.verifiedAt > OUTAGE_THRESHOLD_MS) endpointsFreshness.outageEndedAt = Math.max(endedAt, endpointsFreshness.outageEndedAt)
  }

  /**
   * Whether an answer follows the one that was applied last, of the same process, and nothing newer became known since. Such an answer is at least as recent, also
   * if it seems to be verified some milliseconds earlier because its request took longer.
   */
  private _followsLastApplied ({ endpointsRevision }: SyncAnswer): boolean {
    if (this._appliedVerifiedAt !== this._state.endpointsFreshness.verifiedAt) return false
    const [instance, revision] = endpointsRevision.split(':')
    const [appliedInstance, appliedRevision] = (this._appliedRevision ?? '').split(':')
    return instance === appliedInstance && Number(revision) >= Number(appliedRevision)
  }
}
