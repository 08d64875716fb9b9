import type { RouterEntry } from '../model/router-entry.js'
import { pause } from '../membership/pause.js'
import type { RouterTable } from '../membership/router-table.js'

/** Interval at which a router asks others while no known source sends it a version in time. */
const INTERVAL_MS = 150
/** Number of routers that are asked at a time. */
const ROUTERS_AT_A_TIME = 2

/** Looks for a source of a version of the configuration beside the router that is followed, which may be slow, lack it itself or not answer any more. */
export class SourceSearch {
  private readonly _routers: RouterTable
  private readonly _isNeeded: () => boolean
  private readonly _ask: (router: RouterEntry) => Promise<unknown>
  private _asked = 0

  /**
   * @param routers live routers
   * @param isNeeded returns whether no known source sends a version in time that this router lacks
   * @param ask asks a router for a source; it does not reject
   */
  constructor (routers: RouterTable, isNeeded: () => boolean, ask: (router: RouterEntry) => Promise<unknown>) {
    this._routers = routers
    this._isNeeded = isNeeded
    this._ask = ask
  }

  /**
   * Asks other routers whenever that is needed, until aborted.
   * @param signal aborts the search
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(INTERVAL_MS, signal)
      if (signal.aborted || !this._isNeeded()) continue
      for (const router of this._next()) this._ask(router).catch(() => undefined)
    }
  }

  /** Each router begins with those after it in the reader order, so that not all of them ask the same. */
  private _next (): readonly RouterEntry[] {
    const order = this._routers.inReaderOrder()
    const peerCount = order.length - 1
    const first = this._routers.ownRank + 1
    const next = Array.from({ length: Math.min(ROUTERS_AT_A_TIME, peerCount) }, (_, index) => {
      return order[(first + (this._asked + index) % peerCount) % order.length] as RouterEntry
    })
    this._asked += next.length
    return next
  }
}
