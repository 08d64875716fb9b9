import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RouterEntry } from '../model/router-entry.js'
import { FollowingState } from './following-state.js'
import { configurationAgeMs } from './configuration-age-ms.js'
import { peerCallFields } from './peer-call-fields.js'
import { FailingReaders } from './failing-readers.js'
import type { FleetSyncOptions } from './fleet-sync-options.js'
import { isFresh } from './is-fresh.js'
import { PeerBackoffs } from './peer-backoffs.js'
import { PeerRotation } from './peer-rotation.js'
import { readingDelayMs } from './reading-delay-ms.js'
import { RoundPause } from './round-pause.js'
import type { RouterTable } from './router-table.js'
import { SeedDiscovery } from './seed-discovery.js'
import { SourceSearch } from '../transfers/source-search.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncClient } from './sync-client.js'
import type { SyncOptions } from './sync-options.js'

/**
 * Interval between sync requests. Together with the pauses of the reader it bounds the delay until all routers know
 * that an endpoint is leaving.
 */
const SYNC_INTERVAL_MS = 250
/** Interval between the sync requests of followers within a zone of a large fleet, where each answer covers thousands of endpoints. */
const ZONE_FOLLOWER_INTERVAL_MS = 500
/** Interval between sync requests while this router waits for a router that can send it a large change. */
const AWAITING_SOURCE_INTERVAL_MS = 100
/** Time since the last round after which a router may no longer be the reader, since another one may have taken over. */
const CONFIRMATION_TIMEOUT_MS = 1_500
/** Options of a sync with a router that is not followed: exchanges state and known routers, without reporting loads. */
const DISCOVERY_OPTIONS: SyncOptions = { reportsLoad: false, followers: [] }
/** Options of a follower that has no followers itself. */
const FOLLOWER_OPTIONS: SyncOptions = { reportsLoad: true, followers: [] }
/**
 * Maximum distance from the store of a router that can be followed within a zone: at most one router lies between it
 * and the store.
 */
const MAXIMUM_SOURCE_DISTANCE = 1
/** Maximum number of routers contacted in one round. */
const MAXIMUM_PEERS_PER_ROUND = 4
/** Number of the first routers of the zone order that look for a fresh router outside of their zone. */
const ZONE_ROUTERS_THAT_LOOK_OUTSIDE = 2

/**
 * Keeps the state of this router up to date by following another one. All routers rank the routers in the same order.
 * The first live router that can read the store is the reader, and the other routers request its state. A router that finds no
 * fresh router ahead of itself becomes the reader, after a delay if it finds only stale ones (`readingDelayMs`). In a large fleet only the first router of each availability zone
 * follows the reader, and the other routers of the zone follow that one.
 */
export class FleetSync {
  private readonly _routers: RouterTable
  private readonly _client: SyncClient
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _following: FollowingState
  private readonly _seedDiscovery: SeedDiscovery
  private readonly _rotation: PeerRotation
  private readonly _sourceSearch: SourceSearch
  private readonly _isStoreFailing: () => boolean
  private readonly _ageLimits: FleetSyncOptions['ageLimits']
  private readonly _failingReaders: FailingReaders
  private readonly _backoffs: PeerBackoffs
  private readonly _pause: RoundPause
  private _followsZonePeer = false
  private _lastAnsweredAt: number | undefined
  /** Whether a router that was contacted in this round answered with stale state. */
  private _hasMetStale = false
  private _onRoundEnd: () => void = () => undefined

  /**
   * @param options dependencies
   * @param clock clock for backoff and timeouts
   * @param log logs changes of the source and failed requests
   */
  constructor (options: FleetSyncOptions, clock: ElapsedClock, log: EventLog) {
    this._routers = options.routers
    this._client = options.client
    this._clock = clock
    this._following = new FollowingState(clock, log)
    this._backoffs = new PeerBackoffs(clock)
    this._pause = new RoundPause(clock)
    this._log = log
    const seeds = options.seeds.filter((seed) => seed !== options.routers.self.address)
    this._seedDiscovery = new SeedDiscovery(seeds, async (seed) => await this._syncWith(seed, DISCOVERY_OPTIONS))
    this._rotation = new PeerRotation(options.routers)
    this._sourceSearch = new SourceSearch(options.routers, () => this._client.isSourceOverdue, async ({ address }) => {
      if (!this._backoffs.isUnreachable(address)) await this._call(address, async () => await this._client.findSource(address))
    })
    this._isStoreFailing = options.isStoreFailing
    this._ageLimits = options.ageLimits
    this._failingReaders = new FailingReaders(clock)
  }

  /** Whether this router has to read the store, because no router ahead of it in the order is known to be fresh. */
  get isReader (): boolean {
    return this._following.isReader
  }

  /**
   * Whether this router is the reader and has contacted the others a moment ago. A router that was paused is not until its
   * next round: another one may have become the reader meanwhile, and writing to the store is left to that one.
   */
  get isConfirmedReader (): boolean {
    return this.isReader && this._pause.sinceRoundMs < CONFIRMATION_TIMEOUT_MS
  }

  /** Name of the router that this one follows; undefined if it reads the store itself and follows none. */
  get source (): string | undefined {
    return this._following.source
  }

  /**
   * Number of routers between this router and the store by way of the router that it follows; Infinity if it follows
   * none.
   */
  get followingDistance (): number {
    return this._following.distance
  }

  /**
   * Whether a seed has answered since the start, or none is expected to. Before, other routers may know that the store has come
   * back from an older copy, and a newer configuration than the one it holds.
   */
  get hasAskedSeeds (): boolean {
    return this._seedDiscovery.hasAsked
  }

  /**
   * Sets the listener that is called when `hasAskedSeeds` becomes true; it replaces the previous one.
   * @param onSeedsAsked listener; it is called without arguments
   */
  onSeedsAsked (onSeedsAsked: () => void): void {
    this._seedDiscovery.onAsked(onSeedsAsked)
  }

  /**
   * Sets the listener that is called after each round; it replaces the previous one.
   * @param onRoundEnd listener; it is called without arguments
   */
  onRoundEnd (onRoundEnd: () => void): void {
    this._onRoundEnd = onRoundEnd
  }

  /**
   * Requests updates from other routers until aborted.
   * @param signal aborts the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    await this._seedDiscovery.run(signal)
    signal.addEventListener('abort', () => this._pause.close(), { once: true })
    await Promise.all([this._runRounds(signal), this._sourceSearch.run(signal)])
  }

  private async _runRounds (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._pause.beginRound()
      await this._runRound(signal)
      this._pause.endRound()
      this._onRoundEnd()
      await this._pause.wait(this._intervalMs)
    }
  }

  /** Whether several other routers have stated a moment ago that they fail to read the store, which is then probably unavailable to all. */
  get isOutageSuspected (): boolean {
    return this._failingReaders.isOutageSuspected
  }

  /**
   * Whether another router has answered this one since a given time, or none is known.
   * @param time time of the clock, in milliseconds
   */
  hasHeardOthersSince (time: number): boolean {
    return this._routers.size === 1 || (this._lastAnsweredAt ?? -Infinity) > time
  }

  /** Starts the next round without a pause, to report a change of this router's state. */
  syncSoon (): void {
    this._pause.end()
  }

  /**
   * Starts the next round as soon as the last one was a given time ago.
   * @param intervalMs time from the end of the last round, in milliseconds
   */
  syncAfter (intervalMs: number): void {
    this._pause.endAfter(intervalMs)
  }

  /** Whether this router gets from another one what it does not read from the store itself. */
  get isFollowing (): boolean {
    return this._following.isFollowing
  }

  /**
   * Contacts routers in the next rounds, one in each. They may be a group that does not know of this one, and wait long for their turn.
   * @param routers routers that this one has never heard
   */
  contactSoon (routers: readonly RouterEntry[]): void {
    this._rotation.addUnheard(routers)
  }

  private get _intervalMs (): number {
    if (this._client.isAwaitingSource) return AWAITING_SOURCE_INTERVAL_MS
    return this._followsZonePeer && !this._client.isAwaitingVersion ? ZONE_FOLLOWER_INTERVAL_MS : SYNC_INTERVAL_MS
  }

  private async _runRound (signal: AbortSignal): Promise<void> {
    this._hasMetStale = false
    this._followsZonePeer = this._routers.isLarge && await this._followZonePeer(signal)
    if (this._followsZonePeer || this._waitsForZonePeers()) return
    // The first router of a zone also syncs on behalf of the other routers of its zone.
    const followers = this._routers.isLarge ? this._routers.inZoneOrder().map(({ name }) => name) : []
    let attempts = 0
    for (const router of this._routers.inReaderOrder()) {
      if (signal.aborted) return
      if (router.name === this._routers.self.name) {
        this._readIfDue()
        if (!this._isStoreFailing()) return await this._syncWithNextPeer()
        continue
      }
      if (this._backoffs.includes(router.address)) continue
      if (attempts === MAXIMUM_PEERS_PER_ROUND) return this._readIfDue()
      attempts += 1
      const answer = await this._syncWith(router.address, { reportsLoad: true, followers })
      if (answer !== undefined && isFresh(answer, 0, this._ageLimits())) return this._follow(router, answer, followers)
      this._backOff(router, answer)
    }
  }

  /**
   * Follows another router of this router's zone. Returns false if this router is the first of its zone or finds no
   * fresh router.
   */
  private async _followZonePeer (signal: AbortSignal): Promise<boolean> {
    let attempts = 0
    for (const router of this._routers.inZoneOrder()) {
      if (signal.aborted || router.name === this._routers.self.name || attempts === MAXIMUM_PEERS_PER_ROUND) return false
      if (this._backoffs.includes(router.address)) continue
      attempts += 1
      const answer = await this._syncWith(router.address, FOLLOWER_OPTIONS)
      if (answer !== undefined && isFresh(answer, MAXIMUM_SOURCE_DISTANCE, this._ageLimits())) {
        this._follow(router, answer, FOLLOWER_OPTIONS.followers)
        return true
      }
      this._backOff(router, answer)
    }
    return false
  }

  /** Whether to leave the search for a fresh router to the first routers of the zone, which can be reached. */
  private _waitsForZonePeers (): boolean {
    return this._routers.isLarge && this._hasMetStale && !this._isReadingDue() && !this._isFirstOfZone()
  }

  private _readIfDue (): void {
    if (this._isReadingDue()) this._following.becomeReader(this._isStoreFailing())
  }

  /**
   * Whether this router has to read the store since no router ahead of it is fresh. If the others can be reached and know
   * nothing fresh either, the store is probably unavailable to all; then the first of the order try at once, and more of them
   * the longer it lasts, in case the store refuses just the first ones.
   */
  private _isReadingDue (): boolean {
    if (!this._hasMetStale || this.isReader) return true
    return this._following.sinceFollowedMs >= readingDelayMs(this._routers.ownRank, this._isFirstOfZone())
  }

  private _isFirstOfZone (): boolean {
    const first = this._routers.inZoneOrder().slice(0, ZONE_ROUTERS_THAT_LOOK_OUTSIDE)
    return first.some(({ name }) => name === this._routers.self.name)
  }

  private async _syncWithNextPeer (): Promise<void> {
    const address = this._rotation.next()
    if (address !== undefined) await this._syncWith(address, DISCOVERY_OPTIONS)
  }

  private async _syncWith (address: string, options: SyncOptions): Promise<SyncAnswer | undefined> {
    const answer = await this._call(address, async () => await this._client.sync(address, options))
    if (answer !== undefined) this._failingReaders.record(answer.name, answer.isStoreFailing === true)
    return answer
  }

  /** Calls another router, and returns undefined if it does not answer. */
  private async _call<Answer> (address: string, send: () => Promise<Answer>): Promise<Answer | undefined> {
    try {
      const answer = await send()
      this._lastAnsweredAt = this._clock.now()
      return answer
    } catch (error) {
      this._log.info('peer-unreachable', { address, problem: (error as Error).message, ...peerCallFields(error) })
      return undefined
    }
  }

  private _backOff (router: RouterEntry, answer: SyncAnswer | undefined): void {
    this._backoffs.start(router.address, answer !== undefined)
    if (answer === undefined) return
    this._hasMetStale = true
    this._log.info('peer-not-fresh', {
      peer: router.name,
      distance: answer.distance ?? undefined,
      store_era: answer.storeEra?.era,
      configuration_age_ms: Math.round(configurationAgeMs(answer)),
      awaited_configuration: answer.awaitedConfiguration?.version,
      endpoints_age_ms: Math.round(answer.endpointsAgeMs)
    })
  }

  private _follow (router: RouterEntry, answer: SyncAnswer, followers: readonly string[]): void {
    this._client.applyFollowed(router.address, answer, followers.length > 0)
    const order = this._routers.inReaderOrder()
    const precedesSelf = order.indexOf(router) < order.indexOf(this._routers.self)
    this._following.follow(router, answer.distance ?? Infinity, precedesSelf)
  }
}
