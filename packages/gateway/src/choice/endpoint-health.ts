import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Pause after a failure before an endpoint is preferred again; doubles with each failure in a row. */
const FIRST_PAUSE_MS = 400
/** Longest pause; a live endpoint gets work again within it. */
const LONGEST_PAUSE_MS = 4_000

/** Failures in a row of one endpoint. */
interface Failures {
  count: number
  until: number
}

/** Which endpoints failed lately, as this router saw it. They get work only if no other can. */
export class EndpointHealth {
  private readonly _failures = new Map<string, Failures>()
  private readonly _clock: ElapsedClock

  /**
   * @param clock for the pauses
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Whether an endpoint failed so lately that others go first.
   * @param endpointId identity of the endpoint
   */
  isSuspect (endpointId: string): boolean {
    const failures = this._failures.get(endpointId)
    return failures !== undefined && failures.until > this._clock.now()
  }

  /**
   * Notes a failure that is the endpoint's own.
   * @param endpointId identity of the endpoint
   */
  failed (endpointId: string): void {
    const failures = this._failures.get(endpointId) ?? { count: 0, until: 0 }
    const pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures.count)
    this._failures.set(endpointId, { count: failures.count + 1, until: this._clock.now() + pause })
  }

  /**
   * Notes a sound answer.
   * @param endpointId identity of the endpoint
   */
  succeeded (endpointId: string): void {
    this._failures.delete(endpointId)
  }
}
