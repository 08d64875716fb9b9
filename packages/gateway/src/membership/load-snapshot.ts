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
  /** Number of routers that are included, this one among them. */
  readonly routers: number
}

/** Requests in flight of some routers. */
interface SummedLoad {
  /** Counts as encoded by `encodeLoads`. */
  readonly load: string
  /** Number of routers in the counts. */
  readonly routers: number
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
   * Returns the counts without the requests that some routers reported.
   * @param excluded names of the excluded routers
   */
  without (excluded: readonly string[]): SummedLoad {
    const { counts, positions, reports, routers } = this._current()
    const remaining = [...counts]
    const counted = excluded.filter((router) => reports.has(router))
    for (const [endpoint, count] of counted.flatMap((router) => Object.entries(reports.get(router) ?? {}))) {
      const position = positions.get(endpoint)
      if (position !== undefined) remaining[position] = Math.max(0, (remaining[position] ?? 0) - count)
    }
    return { load: encodeLoads(remaining.map((count) => Math.round(count))), routers: routers - counted.length }
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
      reports: this._loads.lastReports(),
      routers: this._loads.countedRouters + 1
    }
    return this._snapshot
  }
}
