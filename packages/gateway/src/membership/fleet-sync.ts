import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RouterEntry } from '../model/router-entry.js'
import { pause } from './pause.js'
import type { FleetSyncOptions } from './fleet-sync-options.js'
import type { RouterTable } from './router-table.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncClient } from './sync-client.js'
import type { SyncPurpose } from './sync-purpose.js'

/** Pause between two questions; with the reader's own pauses it bounds how late a leaving endpoint is known. */
const SYNC_INTERVAL_MS = 250
/** The same for the followers in a zone of a large fleet, where each answer tells of thousands of endpoints. */
const ZONE_FOLLOWER_INTERVAL_MS = 500
/** How long a router counts as following another one after its last answer. */
const FOLLOWING_MS = 1_500
/** Asking to learn of each other. */
const INTRODUCTION: SyncPurpose = { tellsLoad: false, followers: [] }
/** Asking as a follower for whom no other one asks. */
const FOLLOWING: SyncPurpose = { tellsLoad: true, followers: [] }
/** Distance from the store of routers that nobody else may follow; there is one router between at most. */
const LARGEST_DISTANCE = 1
/** Routers asked in one round; a router that finds none of so many fresh reads the store itself. */
const MAXIMUM_ASKED = 4
/** A reader asks another router in every so many rounds. */
const READER_ROUNDS = 4
/** How long a router that did not answer, or knew nothing fresh, is passed over. */
const PASS_OVER_MS = 1_500
/** Age of configuration or endpoints above which another router is asked. */
const STALE_MS = 3_200
/** Endpoints are read more often than configurations. */
const STALE_ENDPOINTS_MS = 1_700

/**
 * Keeps this router's knowledge fresh through another one. The routers have an order; the first that lives and
 * reaches the store reads it for all, and the others ask that one. A router that finds no better one fresh is the
 * reader itself. In a large fleet only the first of each availability zone asks the reader, and the others of the zone
 * ask that one.
 */
export class FleetSync {
  private readonly _routers: RouterTable
  private readonly _client: SyncClient
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _seeds: readonly string[]
  private readonly _isStoreFailing: () => boolean
  private readonly _passedOver = new Map<string, number>()
  private _source: string | undefined
  private _isReader = false
  private _rounds = 0
  private _followsInZone = false
  private _sourceDistance = Infinity
  private _followedAt = -Infinity

  /**
   * @param options the parts
   * @param clock dates failures
   * @param log takes a line when the source of knowledge changes
   */
  constructor (options: FleetSyncOptions, clock: ElapsedClock, log: EventLog) {
    this._routers = options.routers
    this._client = options.client
    this._clock = clock
    this._log = log
    this._seeds = options.seeds.filter((seed) => seed !== options.routers.self.address)
    this._isStoreFailing = options.isStoreFailing
  }

  /** Whether this router has to read the store: no router before it in the order is known to be fresh. */
  get isReader (): boolean {
    return this._isReader
  }

  /** Routers between this one and the store, if it does not read the store itself; Infinity if it follows nobody. */
  get followingDistance (): number {
    return this._clock.now() - this._followedAt < FOLLOWING_MS ? this._sourceDistance + 1 : Infinity
  }

  /**
   * Asks for news until ended.
   * @param signal ends it
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all(this._seeds.map((seed) => this._ask(seed, INTRODUCTION)))
    while (!signal.aborted) {
      await this._round(signal)
      await pause(this._followsInZone ? ZONE_FOLLOWER_INTERVAL_MS : SYNC_INTERVAL_MS, signal)
    }
  }

  private async _round (signal: AbortSignal): Promise<void> {
    this._followsInZone = this._routers.isLarge && await this._followZone(signal)
    if (this._followsInZone) return
    // This router asks for the others of its zone that follow it.
    const followers = this._routers.isLarge ? this._routers.inZoneOrder().map(({ name }) => name) : []
    let asked = 0
    for (const router of this._routers.inReaderOrder()) {
      if (signal.aborted) return
      if (router.name === this._routers.self.name) {
        this._becomeReader()
        if (!this._isStoreFailing()) return await this._askOne()
        continue
      }
      if (this._isPassedOver(router.address)) continue
      if (asked === MAXIMUM_ASKED) return this._becomeReader()
      asked += 1
      const answer = await this._ask(router.address, { tellsLoad: true, followers })
      if (answer !== undefined && isFresh(answer, 0)) return this._follow(router, answer)
      this._passOver(router, answer)
    }
  }

  /** Follows a router of the own zone; false if this one is the first of them, or finds none that is fresh. */
  private async _followZone (signal: AbortSignal): Promise<boolean> {
    let asked = 0
    for (const router of this._routers.inZoneOrder()) {
      if (signal.aborted || router.name === this._routers.self.name || asked === MAXIMUM_ASKED) return false
      if (this._isPassedOver(router.address)) continue
      asked += 1
      const answer = await this._ask(router.address, FOLLOWING)
      if (answer !== undefined && isFresh(answer, LARGEST_DISTANCE)) {
        this._follow(router, answer)
        return true
      }
      this._passOver(router, answer)
    }
    return false
  }

  /** The others come to a reader; it asks one of them now and then, so that two readers learn of each other. */
  private async _askOne (): Promise<void> {
    const others = this._routers.inReaderOrder().filter((router) => router.name !== this._routers.self.name)
    this._rounds += 1
    if (others.length === 0 || this._rounds % READER_ROUNDS !== 0) return
    const other = others[(this._rounds / READER_ROUNDS) % others.length] as RouterEntry
    await this._ask(other.address, INTRODUCTION)
  }

  private async _ask (address: string, purpose: SyncPurpose): Promise<SyncAnswer | undefined> {
    try {
      return await this._client.sync(address, purpose)
    } catch (error) {
      this._log.info('peer-unreachable', { address, problem: (error as Error).message })
      return undefined
    }
  }

  private _isPassedOver (address: string): boolean {
    return (this._passedOver.get(address) ?? -Infinity) > this._clock.now()
  }

  private _passOver (router: RouterEntry, answer: SyncAnswer | undefined): void {
    this._passedOver.set(router.address, this._clock.now() + PASS_OVER_MS)
    if (answer === undefined) return
    this._log.info('peer-not-fresh', {
      peer: router.name,
      distance: answer.distance ?? undefined,
      configuration_age_ms: Math.round(answer.configurationAgeMs),
      endpoints_age_ms: Math.round(answer.endpointsAgeMs)
    })
  }

  private _follow (router: RouterEntry, answer: SyncAnswer): void {
    this._client.takeLoad(router.address, answer)
    this._sourceDistance = answer.distance ?? Infinity
    this._followedAt = this._clock.now()
    const order = this._routers.inReaderOrder()
    const isBetter = order.indexOf(router) < order.indexOf(this._routers.self)
    if (this._source === router.name && this._isReader !== isBetter) return
    this._isReader = !isBetter
    this._source = router.name
    this._log.info('knowledge-source', { source: router.name, reads_store: this._isReader })
  }

  private _becomeReader (): void {
    if (this._isReader && (this._source === undefined || this._isStoreFailing())) return
    this._isReader = true
    this._source = undefined
    this._log.info('knowledge-source', { source: 'store' })
  }
}

function isFresh (answer: SyncAnswer, largestDistance: number): boolean {
  // Who is followed must be nearer to the store, or two routers could wait for each other.
  return answer.distance !== null && answer.distance <= largestDistance && answer.configurationAgeMs >= 0 && answer.configurationAgeMs < STALE_MS &&
    answer.endpointsAgeMs >= 0 && answer.endpointsAgeMs < STALE_ENDPOINTS_MS
}
