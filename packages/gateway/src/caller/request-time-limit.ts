import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { GatewayState } from '../model/gateway-state.js'
import type { AuthorizedRequest } from './authorized-request.js'
import { createStoppingError } from './create-stopping-error.js'

/** Subtracted from the time limit of a request, which leaves time for the router's own response to reach the caller. */
const RESPONSE_MARGIN_MS = 15

/**
 * Time within which a request has to be answered: until the caller's deadline or the route's timeout, whichever is earlier. A stopping
 * router answers before it exits, unless the response has begun, which may be complete by then.
 */
export class RequestTimeLimit {
  private readonly _clock: ElapsedClock
  private readonly _state: Pick<GatewayState, 'stopDeadline'>
  private readonly _hasBegun: () => boolean
  private readonly _startedAt: number
  private _limitMs = Infinity
  private _timer: NodeJS.Timeout | undefined
  private _onEnd: () => void = () => undefined

  /**
   * @param clock clock of the router
   * @param state lifecycle state of the router
   * @param hasBegun returns whether the response has begun
   */
  constructor (clock: ElapsedClock, state: Pick<GatewayState, 'stopDeadline'>, hasBegun: () => boolean) {
    this._clock = clock
    this._state = state
    this._hasBegun = hasBegun
    this._startedAt = clock.now()
  }

  /** Time of the clock at which the request arrived. */
  get startedAt (): number {
    return this._startedAt
  }

  /** Milliseconds until the request has to be answered. */
  get leftMs (): number {
    const { stopDeadline } = this._state
    const untilStopMs = stopDeadline === undefined || this._hasBegun() ? Infinity : stopDeadline - performance.now()
    return Math.min(this._ownLeftMs, untilStopMs)
  }

  /** Whether the request ends before a stopping router exits, however long it takes. */
  get endsBeforeStop (): boolean {
    const { stopDeadline } = this._state
    return stopDeadline === undefined || performance.now() + this._ownLeftMs <= stopDeadline
  }

  /**
   * Requires that the request ends before a stopping router exits.
   * @throws MimosarockError if it may not
   */
  requireEndBeforeStop (): void {
    if (!this.endsBeforeStop) throw createStoppingError()
  }

  /**
   * Sets the limits of a request that has been authorized.
   * @param request the request
   */
  setLimits ({ caller, route }: AuthorizedRequest): void {
    this._limitMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs)
  }

  /**
   * Starts to wait for the end of the time.
   * @param onEnd called when the time is over
   */
  start (onEnd: () => void): void {
    this._onEnd = onEnd
    this._setTimer()
  }

  /** Takes a shorter limit into account, if the end is waited for. */
  shorten (): void {
    if (this._timer !== undefined) this._setTimer()
  }

  /** Ends the wait. */
  stop (): void {
    clearTimeout(this._timer)
    this._timer = undefined
  }

  private get _ownLeftMs (): number {
    return this._startedAt + this._limitMs - RESPONSE_MARGIN_MS - this._clock.now()
  }

  private _setTimer (): void {
    clearTimeout(this._timer)
    this._timer = setTimeout(() => this._end(), Math.max(0, this.leftMs))
  }

  private _end (): void {
    // A response that has begun since the timer was set has more time in a stopping router.
    if (this.leftMs > 0) this._setTimer()
    else this._onEnd()
  }
}
