import type { LoadByEndpoint } from '../choice/load-by-endpoint.js'
import type { LoadView } from '../choice/load-view.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointTable } from './endpoint-table.js'
import { encodeLoads } from './encode-loads.js'

/** How long a snapshot is used for each endpoint that it counts, in milliseconds: 0.1 s for 5,000, nothing for a few. */
const USED_MS_PER_ENDPOINT = 0.02

/** Counts of one moment. */
interface Snapshot {
  readonly revision: number
  readonly usedUntil: number
  readonly counts: readonly number[]
  readonly positions: ReadonlyMap<string, number>
  /** What each router had told by then, which the counts contain. */
  readonly told: ReadonlyMap<string, LoadByEndpoint>
}

/**
 * Requests in flight of the whole fleet, for answers to other routers. Counting thousands of endpoints takes longer than
 * all the rest of an answer, so one count serves the answers of a short time.
 */
export class LoadSnapshot {
  private readonly _endpoints: EndpointTable
  private readonly _loads: LoadView
  private readonly _clock: ElapsedClock
  private _snapshot: Snapshot | undefined

  /**
   * @param endpoints in the order in which they are counted
   * @param loads the requests in flight
   * @param clock ends the use of a count
   */
  constructor (endpoints: EndpointTable, loads: LoadView, clock: ElapsedClock) {
    this._endpoints = endpoints
    this._loads = loads
    this._clock = clock
  }

  /**
   * The counts without those of one router, as `encodeLoads` writes them.
   * @param router name of the router
   */
  without (router: string): string {
    const { counts, positions, told } = this._current()
    const others = [...counts]
    for (const [endpoint, count] of Object.entries(told.get(router) ?? {})) {
      const position = positions.get(endpoint)
      if (position !== undefined) others[position] = Math.max(0, (others[position] ?? 0) - count)
    }
    return encodeLoads(others)
  }

  private _current (): Snapshot {
    const held = this._snapshot
    const now = this._clock.now()
    if (held !== undefined && held.revision === this._endpoints.revision && now < held.usedUntil) return held
    const ids = [...this._endpoints.entries].map(({ id }) => id)
    const hasSameEndpoints = held !== undefined && held.revision === this._endpoints.revision
    this._snapshot = {
      revision: this._endpoints.revision,
      usedUntil: now + Math.floor(ids.length * USED_MS_PER_ENDPOINT),
      counts: ids.map((id) => this._loads.total(id)),
      positions: hasSameEndpoints ? held.positions : new Map(ids.map((id, index) => [id, index])),
      told: this._loads.allTold()
    }
    return this._snapshot
  }
}
