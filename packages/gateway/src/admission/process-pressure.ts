import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Interval over which the shortest event loop iteration is taken, since a single long one may be a burst or a processor pause. */
const INTERVAL_MS = 100
/** Shortest iteration of an interval above which the process is overloaded; a fifth of the tightest latency objective. */
const LONG_ITERATION_MS = 40
/** Event loop utilization above which the loop counts as never idle; connections then queue, since each iteration accepts only one. */
const FULL_UTILIZATION = 0.98
/** Consecutive intervals of full utilization that count as overload; a process start or a connection burst lasts for fewer. */
const FULL_INTERVALS = 5
/** Factor by which the limit falls in an overloaded interval. */
const DECREASE_FACTOR = 0.85
/** Factor by which the limit rises in any other interval, in addition to one request. */
const INCREASE_FACTOR = 1.1
/** Lower bound of the limit, which guarantees progress under any overload. */
const MINIMUM_LIMIT = 8
/** Multiple of the requests in progress above which the limit no longer has an effect and is removed. */
const INEFFECTIVE_MULTIPLE = 2

/**
 * Adaptive concurrency limit of this process, derived from the event loop. Two signals show overload:
 *
 * - Long iterations, since a request that arrives during an iteration is read only after it. The shortest iteration of an
 *   interval is compared with a threshold, as in controlled delay (Nichols and Jacobson, 2012).
 * - A loop that is never idle, even with short iterations, since connections then wait to be accepted.
 *
 * The limit falls by a factor under overload and recovers slowly afterwards.
 */
export class ProcessPressure {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _limit = Infinity
  private _shortestMs = Infinity
  private _intervalEndsAt = -Infinity
  private _fullIntervals = 0

  /**
   * @param clock time source of the intervals
   * @param log receives an entry when pressure begins and when it ends
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /** Maximum number of requests in flight over all services; `Infinity` without pressure. */
  get limit (): number {
    return this._limit
  }

  /** Whether the process is under pressure, that is, a limit is in force. */
  get isHigh (): boolean {
    return this._limit !== Infinity
  }

  /**
   * Records one iteration of the event loop and adjusts the limit once per interval.
   * @param iterationMs duration of the iteration, in milliseconds
   * @param inProgress number of requests received and not answered yet, queued ones included
   * @param utilization returns the fraction of the time since its previous call in which the event loop was not idle
   */
  recordIteration (iterationMs: number, inProgress: number, utilization: () => number): void {
    const now = this._clock.now()
    this._shortestMs = Math.min(this._shortestMs, iterationMs)
    if (now < this._intervalEndsAt) return
    this._fullIntervals = utilization() > FULL_UTILIZATION ? this._fullIntervals + 1 : 0
    const wasHigh = this.isHigh
    if (this._shortestMs > LONG_ITERATION_MS || this._fullIntervals >= FULL_INTERVALS) this._limit = Math.max(MINIMUM_LIMIT, Math.min(this._limit, inProgress) * DECREASE_FACTOR)
    else this._raise(inProgress)
    if (this.isHigh !== wasHigh) {
      this._log.info(wasHigh ? 'pressure-ended' : 'pressure-began', { turn_ms: Math.round(this._shortestMs), full_intervals: this._fullIntervals, in_work: inProgress, limit: this._limit })
    }
    this._shortestMs = Infinity
    this._intervalEndsAt = now + INTERVAL_MS
  }

  private _raise (inProgress: number): void {
    this._limit = this._limit * INCREASE_FACTOR + 1
    if (this._limit > Math.max(MINIMUM_LIMIT, inProgress) * INEFFECTIVE_MULTIPLE) this._limit = Infinity
  }
}
