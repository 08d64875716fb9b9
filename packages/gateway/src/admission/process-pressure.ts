import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Span over which the shortest turn is taken: a single long turn is a burst or a pause of the processor, in milliseconds. */
const INTERVAL_MS = 100
/** Shortest turn of an interval above which the process has more to do than it can; a fifth of the tightest objective. */
const HIGH_TURN_MS = 40
/** Part of the time above which the event loop never rests: connections then wait to be accepted, one in each turn. */
const FULL_UTILIZATION = 0.98
/** Intervals in a row with full utilization that show pressure; a start, or a burst of connections, takes less. */
const FULL_INTERVALS = 5
/** Factor of the requests in work in an interval of pressure. */
const DECREASE = 0.85
/** Factor by which the limit grows in an interval without. */
const INCREASE = 1.1
/** Requests in work that are always taken, so that work goes on under any pressure. */
const LEAST_LIMIT = 8
/** Multiple of the requests in work above which the limit is of no use. */
const USELESS_MULTIPLE = 2

/**
 * How many requests this process can have in work before its own processor makes them late. Two things show that. A
 * turn of the event loop that takes long: a request that arrives waits for the rest of it before it is read; the shortest turn
 * of an interval is judged, as controlled delay does (Nichols and Jacobson, 2012). And a loop that never rests, although its
 * turns are short: then connections wait before they are accepted. The limit falls by a factor and grows slowly.
 */
export class ProcessPressure {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _limit = Infinity
  private _shortest = Infinity
  private _intervalEndsAt = -Infinity
  private _fullIntervals = 0

  /**
   * @param clock cuts the intervals
   * @param log takes a line when pressure begins and when it ends
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /** Requests that may be in work. */
  get limit (): number {
    return this._limit
  }

  /** Whether the last intervals were over the bound. */
  get isHigh (): boolean {
    return this._limit !== Infinity
  }

  /**
   * Takes one turn of the event loop.
   * @param turnMs how long it took, in milliseconds
   * @param inWork requests in work
   * @param utilization tells the part of the time since it was asked last in which the event loop did not rest
   */
  noteTurn (turnMs: number, inWork: number, utilization: () => number): void {
    const now = this._clock.now()
    this._shortest = Math.min(this._shortest, turnMs)
    if (now < this._intervalEndsAt) return
    this._fullIntervals = utilization() > FULL_UTILIZATION ? this._fullIntervals + 1 : 0
    const wasHigh = this.isHigh
    if (this._shortest > HIGH_TURN_MS || this._fullIntervals >= FULL_INTERVALS) this._limit = Math.max(LEAST_LIMIT, Math.min(this._limit, inWork) * DECREASE)
    else this._raise(inWork)
    if (this.isHigh !== wasHigh) {
      this._log.info(wasHigh ? 'pressure-ended' : 'pressure-began', { turn_ms: Math.round(this._shortest), full_intervals: this._fullIntervals, in_work: inWork, limit: this._limit })
    }
    this._shortest = Infinity
    this._intervalEndsAt = now + INTERVAL_MS
  }

  private _raise (inWork: number): void {
    this._limit = this._limit * INCREASE + 1
    if (this._limit > Math.max(LEAST_LIMIT, inWork) * USELESS_MULTIPLE) this._limit = Infinity
  }
}
