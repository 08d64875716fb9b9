import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { EndpointPauses } from './endpoint-pauses.js'

/** Number of responses in series that did not end, from which an endpoint is paused; one may be due to its request. */
const PAUSED_FROM = 2
/** First pause, in milliseconds; it doubles with each further response that does not end. */
const FIRST_PAUSE_MS = 500
const MAXIMUM_PAUSE_MS = 16_000
/** Time without a call after which a series is forgotten, in milliseconds. */
const SERIES_LIFETIME_MS = 60_000

/** Responses in series of one endpoint that did not end. */
interface Series {
  readonly count: number
  readonly recordedAt: number
}

/** Pauses endpoints that send bytes without end: each call of them costs the router more than it is worth. */
export class EndlessEndpoints {
  private readonly _series = new Map<string, Series>()
  private readonly _pauses: Pick<EndpointPauses, 'record'>
  private readonly _clock: ElapsedClock

  /**
   * @param pauses pauses of the endpoints
   * @param clock clock of the router
   */
  constructor (pauses: Pick<EndpointPauses, 'record'>, clock: ElapsedClock) {
    this._pauses = pauses
    this._clock = clock
  }

  /**
   * Records a response that did not end.
   * @param endpoint endpoint that sent it
   */
  recordEndless (endpoint: EndpointEntry): void {
    this._expire()
    const count = (this._series.get(endpoint.id)?.count ?? 0) + 1
    this._series.delete(endpoint.id)
    this._series.set(endpoint.id, { count, recordedAt: this._clock.now() })
    if (count < PAUSED_FROM) return
    this._pauses.record(endpoint, Math.min(MAXIMUM_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (count - PAUSED_FROM)))
  }

  /**
   * Records a response that ended.
   * @param endpoint endpoint that sent it
   */
  recordEnded ({ id }: EndpointEntry): void {
    this._series.delete(id)
  }

  /** Series are in the order in which they were recorded last. */
  private _expire (): void {
    const now = this._clock.now()
    for (const [id, { recordedAt }] of this._series) {
      if (now - recordedAt < SERIES_LIFETIME_MS) return
      this._series.delete(id)
    }
  }
}
