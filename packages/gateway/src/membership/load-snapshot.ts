import type { LoadByEndpoint } from '../choice/load-by-endpoint.js'
import type { LoadView } from '../choice/load-view.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointTable } from './endpoint-table.js'
import { encodeLoads } from './encode-loads.js'

/** Lifetime of a snapshot per counted endpoint, in milliseconds: 0.1 s for 5,000 endpoints, 0 for a few. */
const LIFETIME_MS_PER_ENDPOINT = 0.02

/** Counts at one point in time. */
interface Snapshot {
  readonly revision: number
  readonly expiresAt: number
  readonly counts: readonly number[]
  readonly positions: ReadonlyMap<string, number>
  /** The reports of other routers that are included in the counts, by router. */
  readonly reports: ReadonlyMap<string, LoadByEndpoint>
}

/**
 * Requests in flight of the whole fleet, for answers to other routers. Counting thousands of endpoints takes longer
 * than the rest of an answer; a snapshot is therefore reused for a short time.
 */
export class LoadSnapshot {
  private readonly _endpoints: EndpointTable
  private readonly _loads: LoadView
  private readonly _clock: ElapsedClock
  private _snapshot: Snapshot | undefined

  /**
   * @param endpoints endpoints to count, in the order of the encoding
   * @param loads requests in flight
   * @param clock clock for the expiry of a snapshot
   */
  constructor (endpoints: EndpointTable, loads: LoadView, clock: ElapsedClock) {
    this._endpoints = endpoints
    this._loads = loads
    this._clock = clock
  }

  /**
   * Returns the counts without the requests that one router reported, as encoded by `encodeLoads`.
   * @param router name of the excluded router
   */
  without (router: string): string {
    const { counts, positions, reports } = this._current()
    const remaining = [...counts]
    for (const [endpoint, count] of Object.entries(reports.get(router) ?? {})) {
      const position = positions.get(endpoint)
      if (position !== undefined) remaining[position] = Math.max(0, (remaining[position] ?? 0) - count)
    }
    return encodeLoads(remaining)
  }

  private _current (): Snapshot {
    const current = this._snapshot
    const now = this._clock.now()
    if (current !== undefined && current.revision === this._endpoints.revision && now < current.expiresAt) return current
    const ids = [...this._endpoints.entries].map(({ id }) => id)
    const hasSameEndpoints = current !== undefined && current.revision === this._endpoints.revision
    this._snapshot = {
      revision: this._endpoints.revision,
      expiresAt: now + Math.floor(ids.length * LIFETIME_MS_PER_ENDPOINT),
      counts: ids.map((id) => this._loads.total(id)),
      positions: hasSameEndpoints ? current.positions : new Map(ids.map((id, index) => [id, index])),
      reports: this._loads.lastReports()
    }
    return this._snapshot
  }
}
