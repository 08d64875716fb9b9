import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { StoreEra } from '../model/store-era.js'
import type { EraEvacuations } from './era-evacuations.js'
import type { EvacuationListener } from './evacuation-listener.js'
import { mergeEvacuations } from './merge-evacuations.js'

/**
 * Availability zones that the operator has evacuated. They are known as of a position in the store, and newer positions replace
 * older ones, so all routers converge in whatever order they learn of changes.
 *
 * When the store has come back from an older copy, the zones of the previous era stay evacuated, and those in the copy are
 * added, until a router has read the store after it has settled. The end of the settling time alone ends no evacuation: the
 * store may have been unavailable since the operator wrote a record again.
 */
export class ZoneEvacuations {
  private readonly _storeEra: StoreEra
  private readonly _log: EventLog
  private readonly _listeners: EvacuationListener[] = []
  private _onNews: () => void = () => undefined
  private _known: readonly EraEvacuations[] = []
  private _zones: ReadonlySet<string> = new Set()
  private _revision = 0
  /** Whether any evacuation was heard of since the start. Until then, routers need not tell each other that there is none. */
  private _hasKnownEvacuation = false

  /**
   * @param storeEra era of the store
   * @param log logs the start and the end of each evacuation
   */
  constructor (storeEra: StoreEra, log: EventLog) {
    this._storeEra = storeEra
    this._log = log
    storeEra.onChange(() => this._recordUnsettled())
  }

  /** Whether the operator's records were read, by this router or another one. */
  get isKnown (): boolean {
    return this._known.length > 0
  }

  /** Names of the evacuated zones. */
  get zones (): ReadonlySet<string> {
    return this._zones
  }

  /** Number that rises with each start and end of an evacuation. */
  get revision (): number {
    return this._revision
  }

  /**
   * What a sync request tells: a record for each era that counts, none if the operator's records were not read yet; undefined
   * if no evacuation was heard of.
   */
  get news (): readonly EraEvacuations[] | undefined {
    return this._hasKnownEvacuation || !this.isKnown ? this._known : undefined
  }

  /**
   * Returns what an answer to a sync request tells; undefined if the requester knows the same, or neither knows of an evacuation.
   * @param received what the request states
   */
  newsFor (received: readonly EraEvacuations[] | undefined): readonly EraEvacuations[] | undefined {
    if (!this.isKnown || (received === undefined && !this._hasKnownEvacuation)) return undefined
    return received !== undefined && isSame(this._known, received) ? undefined : this._known
  }

  /**
   * Adds a listener.
   * @param listener listener to call after each start and end of an evacuation
   */
  listen (listener: EvacuationListener): void {
    this._listeners.push(listener)
  }

  /**
   * Sets a listener for changes that the router that this one follows may not know.
   * @param onNews listener; it is called without arguments
   */
  onNews (onNews: () => void): void {
    this._onNews = onNews
  }

  /**
   * Returns whether a zone is evacuated.
   * @param zone name of the zone
   */
  includes (zone: string): boolean {
    return this._zones.has(zone)
  }

  /**
   * Records what this router has read in the store.
   * @param read zones that the store holds, as of a position
   */
  recordReading (read: EraEvacuations): void {
    this._merge([read], 'store', false)
  }

  /**
   * Records what another router knows.
   * @param received what it stated; undefined if it stated nothing
   * @param source name of the router, for the log
   * @param isFromUpstream whether this router follows that one
   */
  learn (received: readonly EraEvacuations[] | undefined, source: string, isFromUpstream: boolean): void {
    if (received === undefined) return
    // A router that started while the store settled may have read it without knowing that it has to settle.
    const isSettling = this._storeEra.isSettling
    const accepted = received.map((record) => isSettling && record.era === this._storeEra.number ? { ...record, isSettled: false } : record)
    this._merge(accepted, source, isFromUpstream)
  }

  private _merge (records: readonly EraEvacuations[], source: string, isFromUpstream: boolean): void {
    this._known = mergeEvacuations(this._known, records)
    const zones = new Set(this._known.flatMap((record) => record.zones))
    this._hasKnownEvacuation ||= records.some((record) => record.zones.length > 0)
    const evacuated = [...zones].filter((zone) => !this._zones.has(zone))
    const restored = [...this._zones].filter((zone) => !zones.has(zone))
    if (evacuated.length === 0 && restored.length === 0) return
    this._zones = zones
    this._revision += 1
    for (const zone of evacuated) this._log.info('zone-evacuated', { zone, source })
    for (const zone of restored) this._log.info('zone-restored', { zone, source })
    for (const listener of this._listeners) {
      for (const zone of evacuated) listener.zoneEvacuated(zone)
      for (const zone of restored) listener.zoneRestored(zone)
    }
    if (!isFromUpstream) this._onNews()
  }

  /** What was read in the new era before its change was noticed was not known to need settling. */
  private _recordUnsettled (): void {
    if (!this._storeEra.isSettling) return
    this._known = this._known.map((record) => record.era === this._storeEra.number ? { ...record, isSettled: false } : record)
  }
}

function isSame (left: readonly EraEvacuations[], right: readonly EraEvacuations[]): boolean {
  return left.length === right.length && left.every(({ era, offset, zones, isSettled }, index) => {
    const other = right[index] as EraEvacuations
    return era === other.era && offset === other.offset && isSettled === other.isSettled && zones.join() === other.zones.join()
  })
}
