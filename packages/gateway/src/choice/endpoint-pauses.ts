import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Until when an incarnation of an endpoint asked to get no requests. */
interface Pause {
  readonly startedAt: number
  readonly until: number
}

/** Endpoints that have asked this router to send nothing for some time, by a rejection with `Retry-After`. */
export class EndpointPauses {
  private readonly _pauses = new Map<string, Pause>()
  private readonly _clock: ElapsedClock

  /**
   * @param clock measures the pauses
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Records the wish of an endpoint. A longer pause that it asked for before stays.
   * @param endpoint the endpoint
   * @param pauseMs time for which it wants no requests, in milliseconds
   */
  record (endpoint: EndpointEntry, pauseMs: number): void {
    this._expire()
    const until = this._clock.now() + Math.max(pauseMs, this.remainingMs(endpoint))
    this._pauses.set(endpoint.id, { startedAt: endpoint.startedAt, until })
  }

  /**
   * Returns the milliseconds for which an endpoint wants no requests; 0 if it takes them.
   * @param endpoint the endpoint
   */
  remainingMs ({ id, startedAt }: EndpointEntry): number {
    const pause = this._pauses.get(id)
    return pause === undefined || pause.startedAt !== startedAt ? 0 : Math.max(0, pause.until - this._clock.now())
  }

  /**
   * Returns the endpoints that take requests.
   * @param endpoints endpoints to choose from
   */
  withoutPaused (endpoints: readonly EndpointEntry[]): readonly EndpointEntry[] {
    return this._pauses.size === 0 ? endpoints : endpoints.filter((endpoint) => this.remainingMs(endpoint) === 0)
  }

  /**
   * Returns the milliseconds until the first of some endpoints takes requests; 0 if one does, or there is none.
   * @param endpoints endpoints to choose from
   */
  remainingOfAllMs (endpoints: readonly EndpointEntry[]): number {
    if (this._pauses.size === 0 || endpoints.length === 0) return 0
    return Math.min(...endpoints.map((endpoint) => this.remainingMs(endpoint)))
  }

  private _expire (): void {
    const now = this._clock.now()
    for (const [id, { until }] of this._pauses) if (until <= now) this._pauses.delete(id)
  }
}
