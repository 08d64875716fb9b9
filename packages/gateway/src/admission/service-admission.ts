import { ServiceTimes } from '@mimosarock/placement/service-times.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { createQueueEntry } from './create-queue-entry.js'
import { DecayingCounter } from './decaying-counter.js'
import { RankQueues } from './rank-queues.js'
import { retryDelay } from './retry-delay.js'
import type { RequestRank } from './request-rank.js'
import type { ServiceAdmissionOptions } from './service-admission-options.js'
import type { ServiceRequest } from './service-request.js'
import type { QueuedRequest } from './queued-request.js'
import { WaitFractions } from './wait-fractions.js'

/** Longest retry delay because of rate limits, in milliseconds; a limit may end or rise at any time. */
const MAXIMUM_RATE_LIMIT_DELAY_MS = 5_000

/**
 * Admission control of one service. Below the concurrency limit a request is admitted at once. At the limit, requests are
 * queued for a fraction of their latency objective and of the time until their deadline; so they are while rate limits of
 * the endpoints allow none. A request that is not expected to
 * be admitted within that time is rejected immediately, with a delay after which to retry.
 */
export class ServiceAdmission {
  private readonly _options: ServiceAdmissionOptions
  private readonly _queues: RankQueues<QueuedRequest>
  private readonly _rejections: DecayingCounter
  private readonly _times = new ServiceTimes()
  private _inFlight = 0
  private _undispatched = 0

  /**
   * @param options settings and dependencies
   */
  constructor (options: ServiceAdmissionOptions) {
    this._options = options
    this._queues = new RankQueues(options.clock)
    this._rejections = new DecayingCounter(options.clock)
  }

  /** Number of requests that are admitted and not yet released. */
  get inFlight (): number {
    return this._inFlight
  }

  /** Number of requests in flight that have not been dispatched to an endpoint yet. */
  get undispatched (): number {
    return this._undispatched
  }

  /** Mean time from the admission of a request to its release, in milliseconds; undefined before the first one. */
  get serviceMs (): number | undefined {
    return this._times.serviceMs === 0 ? undefined : this._times.serviceMs
  }

  /**
   * Admitted fraction of the rank that is served next, by which the queues of one service take turns; undefined if no
   * queued request can be admitted.
   */
  get nextFraction (): number | undefined {
    return this._queues.size > 0 && this._hasCapacity() ? this._queues.nextFraction : undefined
  }

  /** Number of queued requests. */
  get queued (): number {
    return this._queues.size
  }

  /**
   * Admits a request if it need not be queued.
   * @param request request to admit
   * @returns whether it is admitted; if not, call `wait`
   */
  tryAdmit (request: ServiceRequest): boolean {
    this._queues.countArrival(request)
    this._options.fairness?.countArrival(request.workspace ?? '')
    if (this._queues.size > 0 || !this._hasCapacity()) return false
    this._countAdmitted(request, request.workspace)
    return true
  }

  /**
   * Counts a request as in flight that waits for its admission elsewhere, whatever the limit. It does not count as demand for the capacity
   * that this router admits to.
   */
  countGranted (): void {
    this._inFlight += 1
    this._undispatched += 1
  }

  /**
   * Queues a request and resolves when it is admitted.
   * @param request request that `tryAdmit` did not admit
   * @param signal removes the request from the queue when aborted
   * @throws {MimosarockError} if the request is rejected or the signal is aborted; the request has not run
   */
  async wait (request: ServiceRequest, signal: AbortSignal): Promise<void> {
    if (this._options.fairness?.mayQueue(request.workspace ?? '') === false) {
      throw this._rejectionError(`is full, and the workspace ${request.workspace} exceeds its share`, ResultCode.WORKSPACE_OVER_SHARE)
    }
    const waitMs = Math.min(request.objectiveMs * WaitFractions.OF_OBJECTIVE, request.timeLeftMs * WaitFractions.OF_TIME_LEFT)
    const waitController = new AbortController()
    await new Promise<void>((resolve, reject) => {
      const queued: QueuedRequest = {
        ...createQueueEntry(request, this._options.clock.now()),
        settle: (error) => {
          waitController.abort()
          if (error === undefined) resolve()
          else reject(error)
        }
      }
      const expectedMs = this._queues.expectedWaitMs(queued, this._releaseIntervalMs())
      if (expectedMs > waitMs) {
        const cause = this._options.rateLimit?.intervalMs() === undefined ? '' : ' because of the rate limits of its endpoints'
        return reject(this._rejectionError(`would admit the request only after about ${Math.round(expectedMs)} ms${cause}`))
      }
      this._queues.push(queued)
      this._options.rateLimit?.requestQueued()
      signal.addEventListener('abort', () => this._drop(queued, () => callerDisconnectedError()), { once: true, signal: waitController.signal })
      this._options.clock.sleep(waitMs, waitController.signal).then(() => {
        this._drop(queued, () => this._rejectionError('had no free capacity within the queue time limit'))
      }, (error: Error) => this._drop(queued, () => error))
      this.admitQueued()
    })
  }

  /**
   * Releases the capacity that an admitted request used and admits queued requests.
   * @param serviceMs time from the admission to the release, in milliseconds
   */
  release (serviceMs: number): void {
    this._inFlight -= 1
    this._times.recordServiceTime(serviceMs)
    this._admitNextRequests()
  }

  /** Records that an admitted request was dispatched to an endpoint. */
  recordDispatch (): void {
    this._undispatched -= 1
  }

  /** Releases the capacity of an admitted request that was not dispatched, and admits queued requests. */
  withdraw (): void {
    this._inFlight -= 1
    this._undispatched -= 1
    this._admitNextRequests()
  }

  /** Admits queued requests up to the current limit; call it when the limit may have grown. */
  admitQueued (): void {
    while (this._queues.size > 0 && this._hasCapacity()) this.admitNext()
  }

  /** Admits the queued request that is served next, whatever the limit is. */
  admitNext (): void {
    const next = this._queues.take()
    if (next === undefined) return
    this._countAdmitted(next, next.workspace)
    next.settle()
  }

  private _admitNextRequests (): void {
    if (this._options.onReleased === undefined) this.admitQueued()
    else this._options.onReleased()
  }

  private _hasCapacity (): boolean {
    return this._inFlight + 1 <= this._options.limit()
  }

  /** Returns the mean time between two admissions from the queue, in milliseconds. */
  private _releaseIntervalMs (): number {
    const byCapacity = this._times.serviceMs / Math.max(1, this._inFlight, this._options.inFlightAtEndpoints?.() ?? 0)
    return Math.max(byCapacity, this._options.rateLimit?.intervalMs() ?? 0)
  }

  private _countAdmitted (rank: RequestRank, workspace = ''): void {
    this._inFlight += 1
    this._undispatched += 1
    this._queues.countAdmission(rank)
    this._options.fairness?.countAdmission(workspace)
  }

  private _drop (queued: QueuedRequest, error: () => Error): void {
    if (this._queues.remove(queued)) queued.settle(error())
  }

  private _rejectionError (reason: string, code: ResultCode = ResultCode.OVERLOADED): MimosarockError {
    this._rejections.increment()
    this._options.fairness?.recordRefusal()
    const random = this._options.random()
    const delayMs = retryDelay(this._rejections.perSecond, this._queues.admissionsPerSecond, random)
    const rateLimitMs = Math.min(MAXIMUM_RATE_LIMIT_DELAY_MS, this._options.rateLimit?.intervalMs() ?? 0)
    const retryAfterMs = Math.max(delayMs, Math.round(rateLimitMs * (0.5 + random)))
    return new MimosarockError(code, `service ${this._options.service} ${reason}`, { run: RunState.NOT_RUN, retryAfterMs })
  }
}

function callerDisconnectedError (): MimosarockError {
  return new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected while the request was queued', { run: RunState.NOT_RUN })
}
