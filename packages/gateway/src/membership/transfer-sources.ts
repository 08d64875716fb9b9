import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RouterEntry } from '../model/router-entry.js'

/** Maximum number of transfers assigned to one router at a time; more of them would all end later. */
const MAXIMUM_TRANSFERS_PER_SOURCE = 2
/** Time after which an assigned transfer no longer counts, if its router has not reported the new version. */
const ASSIGNMENT_LIFETIME_MS = 1_500

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

  /**
   * @param self entry of this router, which is a source as well
   * @param clock clock for the expiry of assignments
   */
  constructor (self: RouterEntry, clock: ElapsedClock) {
    this._self = self
    this._clock = clock
  }

  /**
   * Records the version of a router that requests state updates. A router with a new version has ended its transfer.
   * @param entry the router
   * @param version version of its configuration
   */
  record (entry: RouterEntry, version: number): void {
    if (this._requesters.get(entry.name)?.version !== version) this._assignments.delete(entry.name)
    this._requesters.set(entry.name, { entry, version, heardAt: this._clock.now() })
  }

  /**
   * Assigns a source to a router that needs a large change.
   * @param requester name of the router
   * @param hasChange whether a version includes the change
   * @returns the source; undefined while all of them are busy
   */
  assign (requester: string, hasChange: (version: number) => boolean): RouterEntry | undefined {
    this._removeExpired()
    const assigned = this._assignments.get(requester)
    if (assigned !== undefined && this._canSend(assigned.source, hasChange)) return assigned.source
    const source = this._leastBusy(requester, hasChange)
    if (source === undefined) return undefined
    this._assignments.set(requester, { source, expiresAt: this._clock.now() + ASSIGNMENT_LIFETIME_MS })
    return source
  }

  /** A source may have lost the change by a restart. */
  private _canSend (source: RouterEntry, hasChange: (version: number) => boolean): boolean {
    if (source.name === this._self.name) return true
    const requester = this._requesters.get(source.name)
    return requester !== undefined && hasChange(requester.version)
  }

  private _leastBusy (requester: string, hasChange: (version: number) => boolean): RouterEntry | undefined {
    const others = [...this._requesters.values()].filter(({ entry, version }) => entry.name !== requester && hasChange(version))
    const transfers = this._transfersBySource()
    let leastBusy: RouterEntry | undefined
    let fewest = MAXIMUM_TRANSFERS_PER_SOURCE
    for (const entry of [...others.map((other) => other.entry), this._self]) {
      const count = transfers.get(entry.name) ?? 0
      if (count >= fewest) continue
      leastBusy = entry
      fewest = count
    }
    return leastBusy
  }

  private _transfersBySource (): ReadonlyMap<string, number> {
    const transfers = new Map<string, number>()
    for (const { source } of this._assignments.values()) transfers.set(source.name, (transfers.get(source.name) ?? 0) + 1)
    return transfers
  }

  private _removeExpired (): void {
    const now = this._clock.now()
    for (const [name, { expiresAt }] of this._assignments) if (now >= expiresAt) this._assignments.delete(name)
    for (const [name, { heardAt }] of this._requesters) if (now - heardAt >= ASSIGNMENT_LIFETIME_MS) this._requesters.delete(name)
  }
}
