import type { LoadByEndpoint } from './load-by-endpoint.js'

/** What one other router has in flight. */
interface ForeignLoad {
  readonly load: LoadByEndpoint
  readonly until: number
}

/** How long another router's report counts; a router that says nothing for so long is taken as gone. */
const REPORT_KEEP_MS = 1_500

/** Requests in flight at each endpoint: this router's exact count and what the others reported last. */
export class LoadView {
  private readonly _own = new Map<string, number>()
  private readonly _foreign = new Map<string, ForeignLoad>()
  private readonly _now: () => number
  private readonly _foreignSum = new Map<string, number>()
  /** Moment at which the first report stops counting, or earlier. */
  private _oldestUntil = Infinity
  private _reports = 0
  private _reported: () => void = () => undefined

  /**
   * @param now milliseconds of a steady clock
   */
  constructor (now: () => number) {
    this._now = now
  }

  /**
   * Sets what is called after each report.
   * @param reported the call
   */
  listen (reported: () => void): void {
    this._reported = reported
  }

  /** Number of reports so far; a change says that the others' requests may have changed. */
  get reports (): number {
    return this._reports
  }

  /**
   * Requests that this router has in flight at an endpoint.
   * @param endpointId identity of the endpoint
   */
  ownOf (endpointId: string): number {
    return this._own.get(endpointId) ?? 0
  }

  /**
   * Requests in flight at an endpoint from the whole fleet, as far as known.
   * @param endpointId identity of the endpoint
   */
  total (endpointId: string): number {
    return this.ownOf(endpointId) + (this._foreignSum.get(endpointId) ?? 0)
  }

  /**
   * Counts a request that is sent to an endpoint.
   * @param endpointId identity of the endpoint
   */
  begin (endpointId: string): void {
    this._own.set(endpointId, this.ownOf(endpointId) + 1)
  }

  /**
   * Counts the end of a request at an endpoint.
   * @param endpointId identity of the endpoint
   */
  end (endpointId: string): void {
    const left = this.ownOf(endpointId) - 1
    if (left > 0) this._own.set(endpointId, left)
    else this._own.delete(endpointId)
  }

  /** What this router has in flight. */
  own (): Record<string, number> {
    return Object.fromEntries(this._own)
  }

  /**
   * What this router and others have in flight.
   * @param routers names of the others
   */
  ownWith (routers: readonly string[]): Record<string, number> {
    const load = this.own()
    for (const router of routers) {
      for (const [endpoint, count] of Object.entries(this.toldBy(router))) load[endpoint] = (load[endpoint] ?? 0) + count
    }
    return load
  }

  /**
   * Takes another router's report.
   * @param router name of the router
   * @param load its requests in flight
   */
  report (router: string, load: LoadByEndpoint): void {
    const now = this._now()
    const until = now + REPORT_KEEP_MS
    this._dropOld(now)
    this._add(this.toldBy(router), -1)
    this._foreign.set(router, { load, until })
    this._add(load, 1)
    this._oldestUntil = Math.min(this._oldestUntil, until)
    this._reports += 1
    this._reported()
  }

  /**
   * What a router reported last, as far as it still counts.
   * @param router name of the router
   */
  toldBy (router: string): LoadByEndpoint {
    return this._foreign.get(router)?.load ?? {}
  }

  /** What each router reported last, as it is now. */
  allTold (): ReadonlyMap<string, LoadByEndpoint> {
    return new Map([...this._foreign].map(([router, { load }]) => [router, load]))
  }

  private _add (load: LoadByEndpoint, sign: number): void {
    for (const [endpoint, count] of Object.entries(load)) {
      const sum = (this._foreignSum.get(endpoint) ?? 0) + sign * count
      if (sum > 0) this._foreignSum.set(endpoint, sum)
      else this._foreignSum.delete(endpoint)
    }
  }

  private _dropOld (now: number): void {
    if (now < this._oldestUntil) return
    this._oldestUntil = Infinity
    for (const [router, { load, until }] of this._foreign) {
      if (until <= now) {
        this._foreign.delete(router)
        this._add(load, -1)
      } else this._oldestUntil = Math.min(this._oldestUntil, until)
    }
  }
}
