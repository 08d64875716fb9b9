import { ServiceTimes } from '@mimosarock/placement/service-times.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { FadingCount } from './fading-count.js'
import { RankQueues } from './rank-queues.js'
import { returnTime } from './return-time.js'
import type { RequestRank } from './request-rank.js'
import type { ServiceAdmissionOptions } from './service-admission-options.js'
import type { ServiceRequest } from './service-request.js'
import type { WaitingRequest } from './waiting-request.js'

/** Part of the objective that a request may wait here; the rest is for the endpoint and the way. */
const WAIT_SHARE_OF_OBJECTIVE = 0.5
/** Part of the time left that a request may wait here. */
const WAIT_SHARE_OF_TIME_LEFT = 0.25

/**
 * Who is served at once, who waits and who is refused at a service. While there is room, a request goes through. Without it,
 * requests wait in turns for a part of their objective. What would not have its turn by then is refused at once, with
 * the moment to come back.
 */
export class ServiceAdmission {
  private readonly _options: ServiceAdmissionOptions
  private readonly _queues: RankQueues
  private readonly _refused: FadingCount
  private readonly _times = new ServiceTimes()
  private _inFlight = 0

  /**
   * @param options the parts
   */
  constructor (options: ServiceAdmissionOptions) {
    this._options = options
    this._queues = new RankQueues(options.clock)
    this._refused = new FadingCount(options.clock)
  }

  /** Requests that were admitted and are not released yet. */
  get inFlight (): number {
    return this._inFlight
  }

  /** Requests that wait. */
  get waiting (): number {
    return this._queues.size
  }

  /**
   * Admits a request if it need not wait.
   * @param request the request
   * @returns whether it is admitted; if not, `wait` is to be called
   */
  tryAdmit (request: ServiceRequest): boolean {
    this._queues.countAsked(request)
    if (this._queues.size > 0 || !this._hasRoom()) return false
    this._countAdmitted(request)
    return true
  }

  /**
   * Waits until a request is admitted.
   * @param request the request
   * @param signal ends the wait
   * @throws {MimosarockError} if it is refused or the signal ended the wait; it has not run
   */
  async wait (request: ServiceRequest, signal: AbortSignal): Promise<void> {
    const waitMs = Math.min(request.objectiveMs * WAIT_SHARE_OF_OBJECTIVE, request.timeLeftMs * WAIT_SHARE_OF_TIME_LEFT)
    const timer = new AbortController()
    await new Promise<void>((resolve, reject) => {
      const waiting: WaitingRequest = {
        workspace: request.workspace ?? '',
        rank: request.rank,
        routeRank: request.routeRank,
        priority: 0,
        weight: 1,
        load: 1,
        queuedAt: this._options.clock.now(),
        end: (error) => {
          timer.abort()
          if (error === undefined) resolve()
          else reject(error)
        }
      }
      const expectedMs = this._queues.expectedWaitMs(waiting, this._times.serviceMs / Math.max(1, this._inFlight))
      if (expectedMs > waitMs) {
        return reject(this._refusal(`would take the request after about ${Math.round(expectedMs)} ms`))
      }
      this._queues.push(waiting)
      signal.addEventListener('abort', () => this._drop(waiting, () => callerGone()), { once: true, signal: timer.signal })
      this._options.clock.sleep(waitMs, timer.signal).then(() => {
        this._drop(waiting, () => this._refusal('had no room for the whole wait'))
      }, (error: Error) => this._drop(waiting, () => error))
      this.recheck()
    })
  }

  /**
   * Gives a place back.
   * @param heldMs how long it was held, in milliseconds
   */
  release (heldMs: number): void {
    this._inFlight -= 1
    this._times.recordServiceTime(heldMs)
    this.recheck()
  }

  /** Admits what waits and fits by now; to be called when the limit may have grown. */
  recheck (): void {
    while (this._queues.size > 0 && this._hasRoom()) {
      const next = this._queues.take() as WaitingRequest
      this._countAdmitted(next)
      next.end()
    }
  }

  private _hasRoom (): boolean {
    return this._inFlight + 1 <= this._options.limit()
  }

  private _countAdmitted (rank: RequestRank): void {
    this._inFlight += 1
    this._queues.countServed(rank)
  }

  private _drop (waiting: WaitingRequest, error: () => Error): void {
    if (this._queues.remove(waiting)) waiting.end(error())
  }

  private _refusal (what: string): MimosarockError {
    this._refused.add()
    const retryAfterMs = returnTime(this._refused.perSecond, this._queues.servedPerSecond, this._options.random())
    return new MimosarockError(ResultCode.OVERLOADED, `service ${this._options.service} ${what}`, { run: RunState.NOT_RUN, retryAfterMs })
  }
}

function callerGone (): MimosarockError {
  return new MimosarockError(ResultCode.CALLER_GONE, 'the caller left while it waited', { run: RunState.NOT_RUN })
}
