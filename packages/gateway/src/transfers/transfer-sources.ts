import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RouterEntry } from '../model/router-entry.js'

/** Maximum number of transfers assigned to one router at a time; more of them would all end later. */
const MAXIMUM_TRANSFERS_PER_SOURCE = 2
/** Time after which an assigned transfer no longer counts, if its router has not reported the new version. */
const ASSIGNMENT_LIFETIME_MS = 1_500
/** Time for which a source that was reported to be slow is assigned only if there is no other. */
const SLOW_LIFETIME_MS = 5_000

/** What a router needs from a source. */
interface TransferNeed {
  /** Version of the router that assigns sources, which is one itself. */
  readonly ownVersion: number
  /** Addresses of sources that are slow for the requester, or have failed. */
  readonly slowSources: readonly string[]
  /** Whether a version includes the change. */
  readonly hasChange: (version: number) => boolean
}

/** A router that requested state updates, and its version of the configuration at that time. */
interface Requester {
  readonly entry: RouterEntry
  readonly version: number
  readonly heardAt: number
}

/** A transfer that a router was told to start. */
interface Assignment {
  readonly source: RouterEntry
  readonly expiresAt: number
}

/**
 * Spreads the transfers of a large change over the routers that have it already, so that the link of the first one does
 * not have to carry all of them: the number of sources multiplies with each generation of transfers.
 */
export class TransferSources {
  private readonly _self: RouterEntry
  private readonly _clock: ElapsedClock
  private readonly _requesters = new Map<string, Requester>()
  private readonly _assignments = new Map<string, Assignment>()
  /** Times until which sources count as slow, by address. */
  private readonly _slowUntil = new Map<string, number>()
  private _newestVersion = 0

  /**
   * @param self entry of this router, which is a source as well
   * @param clock clock for the expiry of assignments
   */
  constructor (self: RouterEntry, clock: ElapsedClock) {
    this._self = self
    this._clock = clock
  }

  /** Newest version of any router that has requested state updates; 0 if there was none. */
  get newestVersion (): number {
    return this._newestVersion
  }

  /**
   * Records the version of a router that requests state updates. A router with a new version has ended its transfer.
   * @param entry the router
   * @param version version of its configuration
   */
  record (entry: RouterEntry, version: number): void {
    if (this._requesters.get(entry.name)?.version !== version) this._assignments.delete(entry.name)
    this._newestVersion = Math.max(version, this._newestVersion)
    this._requesters.set(entry.name, { entry, version, heardAt: this._clock.now() })
  }

  /**
   * Assigns a source to a router that needs a large change.
   * @param requester name of the router
   * @param need what the router needs, and what is known of the sources
   * @returns the source; undefined while all of them are busy
   */
  assign (requester: string, need: TransferNeed): RouterEntry | undefined {
    this._removeExpired()
    this._recordSlow(requester, need.slowSources)
    const assigned = this._assignments.get(requester)
    if (assigned !== undefined && this._canSend(assigned.source, need)) return assigned.source
    const source = this._leastBusy(requester, need)
    if (source === undefined) return undefined
    this._assignments.set(requester, { source, expiresAt: this._clock.now() + ASSIGNMENT_LIFETIME_MS })
    return source
  }

  /** A router that reports a slow source needs another one, and others get that source only if there is no other. */
  private _recordSlow (requester: string, slowSources: readonly string[]): void {
    const assigned = this._assignments.get(requester)
    if (assigned === undefined || !slowSources.includes(assigned.source.address)) return
    this._slowUntil.set(assigned.source.address, this._clock.now() + SLOW_LIFETIME_MS)
    this._assignments.delete(requester)
  }

  /** A source may have lost the change by a restart. */
  private _canSend (source: RouterEntry, { ownVersion, hasChange }: TransferNeed): boolean {
    if (source.name === this._self.name) return hasChange(ownVersion)
    const requester = this._requesters.get(source.name)
    return requester !== undefined && hasChange(requester.version)
  }

  private _leastBusy (requester: string, { ownVersion, slowSources, hasChange }: TransferNeed): RouterEntry | undefined {
    const others = [...this._requesters.values()].filter(({ entry, version }) => entry.name !== requester && hasChange(version))
    const candidates = [...others.map(({ entry }) => entry), ...(hasChange(ownVersion) ? [this._self] : [])]
    const transfers = this._transfersBySource()
    let leastBusy: RouterEntry | undefined
    let fewest = Infinity
    for (const entry of candidates) {
      const count = transfers.get(entry.name) ?? 0
      if (count >= MAXIMUM_TRANSFERS_PER_SOURCE || slowSources.includes(entry.address)) continue
      const cost = this._isSlow(entry) ? count + MAXIMUM_TRANSFERS_PER_SOURCE : count
      if (cost >= fewest) continue
      leastBusy = entry
      fewest = cost
    }
    return leastBusy
  }

  private _isSlow ({ address }: RouterEntry): boolean {
    return (this._slowUntil.get(address) ?? -Infinity) > this._clock.now()
  }

  private _transfersBySource (): ReadonlyMap<string, number> {
    const transfers = new Map<string, number>()
    for (const { source } of this._assignments.values()) transfers.set(source.name, (transfers.get(source.name) ?? 0) + 1)
    return transfers
  }

  private _removeExpired (): void {
    const now = this._clock.now()
    for (const [name, { expiresAt }] of this._assignments) if (now >= expiresAt) this._assignments.delete(name)
    for (const [address, until] of this._slowUntil) if (now >= until) this._slowUntil.delete(address)
    for (const [name, { heardAt }] of this._requesters) if (now - heardAt >= ASSIGNMENT_LIFETIME_MS) this._requesters.delete(name)
  }
}
