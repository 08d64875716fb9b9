import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { AdmissionRequest } from './admission-request.js'
import type { AdmissionTicket } from './admission-ticket.js'
import type { EndpointAdmissionOptions } from './endpoint-admission-options.js'
import { ExternalLoad } from './external-load.js'
import { FairQueue } from './fair-queue.js'
import type { LoadSource } from './load-source.js'
import type { QueuedRequest } from './queued-request.js'
import { ServiceTimes } from './service-times.js'

/** Retry delay in refusals for which no queueing delay can be estimated, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 500
/** Tolerance for floating-point rounding in sums of fractional loads. */
const ROUNDING_TOLERANCE = 1e-9

/**
 * Admission control for one endpoint, run by the router that owns it. Tracks the exact load in flight, maintains a
 * bounded queue and refuses immediately what cannot be served in time. A refused request has never been sent to
 * the endpoint.
 *
 * @example
 * const ticket = await admission.admit(request, 250, signal)
 * try { await run(ticket) } finally { ticket.release() }
 */
export class EndpointAdmission implements LoadSource {
  private readonly _options: EndpointAdmissionOptions
  private readonly _queue = new FairQueue<QueuedRequest>()
  private readonly _times = new ServiceTimes()
  private readonly _externalLoad: ExternalLoad
  private _load = 0
  private _inFlight = 0
  private _queuedLoad = 0

  /**
   * @param options endpoint, limits and clock of the admission control
   */
  constructor (options: EndpointAdmissionOptions) {
    this._options = options
    this._externalLoad = new ExternalLoad(options.clock)
  }

  /** Number of requests in flight at the endpoint that were admitted here. */
  get inFlight (): number {
    return this._inFlight
  }

  /** Number of queued requests. */
  get queued (): number {
    return this._queue.size
  }

  /** Load of the requests in flight, plus the external load that the endpoint reports. */
  get load (): number {
    return this._load + this._externalLoad.load
  }

  /** Number of requests that the endpoint runs concurrently without queueing. */
  get capacity (): number {
    return this._options.capacity
  }

  /**
   * Estimated queueing delay of a new request of mean size, in milliseconds, based on measured service times; 0 before
   * the first measurement and while no request is in flight.
   */
  get expectedWaitMs (): number {
    if (this._load <= 0) return 0
    return (this._queuedLoad + 1) * this._times.serviceMs / this._load
  }

  /**
   * Admits a request, queueing it if the endpoint has reached its load limit.
   * @param request request to admit
   * @param waitMs maximum time in the queue, in milliseconds; 0 disables queueing
   * @param signal removes the request from the queue when aborted
   * @returns a ticket, which the caller must release when the request ends
   * @throws {MimosarockError} ENDPOINT_OVER_BOUND, QUEUE_FULL or DEADLINE_CANNOT_BE_MET, always `not-run`;
   * CALLER_GONE if the signal is aborted before admission
   */
  async admit (request: AdmissionRequest, waitMs: number, signal?: AbortSignal): Promise<AdmissionTicket> {
    if (signal?.aborted) throw this._createRefusal(ResultCode.CALLER_GONE, 'did not admit the request before the caller canceled it')
    // An idle endpoint is not refused: only a new sample can show that it has become faster again.
    if (this._inFlight > 0 && this._times.firstByteMs > request.remainingMs) {
      throw this._createRefusal(ResultCode.DEADLINE_CANNOT_BE_MET, 'has a mean time to first byte longer than the remaining time of the request')
    }
    if (this._queue.size === 0 && this._fits(request)) return this._createTicket(request.load)
    if (waitMs <= 0) throw this._createRefusal(ResultCode.ENDPOINT_OVER_BOUND, 'has reached its load limit')
    this._checkDeadline(request, waitMs)
    this._makeQueueSpace(request)
    return await this._enqueue(request, Math.min(waitMs, request.remainingMs), signal)
  }

  /**
   * Records a load report of the endpoint, which includes requests that other routers dispatched, and admits queued
   * requests that now fit.
   * @param running number of requests that the endpoint runs or queues
   */
  recordLoadReport (running: number): void {
    this._externalLoad.recordReport(running)
    this.admitQueued()
  }

  /** Admits queued requests that fit within the limit. Must be called after the limit may have increased. */
  admitQueued (): void {
    for (let next = this._queue.peek(); next !== undefined && this._fits(next.request); next = this._queue.peek()) {
      this._queue.take()
      this._queuedLoad -= next.load
      next.waitController.abort()
      next.resolve(this._createTicket(next.load))
    }
  }

  /**
   * Rejects all queued requests, for an endpoint that is leaving or has failed.
   * @param error error with which the queued requests are rejected
   */
  rejectQueued (error: MimosarockError): void {
    for (let next = this._queue.peek(); next !== undefined; next = this._queue.peek()) this._rejectEntry(next, error)
  }

  private _fits (request: AdmissionRequest): boolean {
    return this.load + request.load <= this._options.limit(request.hasContext) + ROUNDING_TOLERANCE
  }

  private _createTicket (load: number): AdmissionTicket {
    const admittedAt = this._options.clock.now()
    let released = false
    let answered = false
    this._load += load
    this._inFlight += 1
    this._externalLoad.recordLocalLoad(this._load)
    return {
      recordFirstByte: () => {
        if (answered || released) return
        answered = true
        this._times.recordFirstByte(this._options.clock.now() - admittedAt)
      },
      release: () => {
        if (released) return
        released = true
        this._load = this._inFlight === 1 ? 0 : this._load - load
        this._inFlight -= 1
        this._externalLoad.recordLocalLoad(this._load)
        // Without a first byte the elapsed time measures a failure, not the service time.
        if (answered) this._times.recordServiceTime(this._options.clock.now() - admittedAt)
        this.admitQueued()
      }
    }
  }

  private _checkDeadline (request: AdmissionRequest, waitMs: number): void {
    const wait = this.expectedWaitMs
    if (wait + this._times.firstByteMs > request.remainingMs) {
      throw this._createRefusal(ResultCode.DEADLINE_CANNOT_BE_MET, `has an estimated queueing delay of ${Math.round(wait)} ms, too long for the deadline of the request`)
    }
    if (wait > waitMs) {
      throw this._createRefusal(ResultCode.ENDPOINT_OVER_BOUND, `has an estimated queueing delay of ${Math.round(wait)} ms, which exceeds the maximum wait`)
    }
  }

  private _makeQueueSpace (request: AdmissionRequest): void {
    if (this._queue.size < this._options.maximumQueued) return
    const refusal = this._createRefusal(ResultCode.QUEUE_FULL, 'has a full queue')
    const victim = this._queue.evictionCandidate(this._createQueuedRequest(request))
    if (victim === undefined) throw refusal
    this._rejectEntry(victim, refusal)
  }

  private async _enqueue (request: AdmissionRequest, waitMs: number, signal?: AbortSignal): Promise<AdmissionTicket> {
    return await new Promise<AdmissionTicket>((resolve, reject) => {
      const queued = this._createQueuedRequest(request, resolve, reject)
      this._queue.push(queued)
      this._queuedLoad += queued.load
      const onAbort = (): void => this._rejectEntry(queued, this._createRefusal(ResultCode.CALLER_GONE, 'did not admit the request before the caller canceled it'))
      signal?.addEventListener('abort', onAbort, { once: true, signal: queued.waitController.signal })
      this._options.clock.sleep(waitMs, queued.waitController.signal).then(() => {
        if (queued.waitController.signal.aborted) return
        this._rejectEntry(queued, this._createRefusal(ResultCode.ENDPOINT_OVER_BOUND, 'remained at its load limit for the maximum wait'))
      })
      this.admitQueued()
    })
  }

  private _createQueuedRequest (request: AdmissionRequest, resolve: QueuedRequest['resolve'] = () => {}, reject: QueuedRequest['reject'] = () => {}): QueuedRequest {
    const { workspace, priority, weight, load } = request
    return { request, workspace, priority, weight, load, queuedAt: this._options.clock.now(), waitController: new AbortController(), resolve, reject }
  }

  private _rejectEntry (queued: QueuedRequest, error: MimosarockError): void {
    if (!this._queue.remove(queued)) return
    this._queuedLoad -= queued.load
    queued.waitController.abort()
    queued.reject(error)
  }

  private _createRefusal (code: ResultCode, reason: string): MimosarockError {
    const retryAfterMs = Math.ceil(this.expectedWaitMs) || DEFAULT_RETRY_AFTER_MS
    return new MimosarockError(code, `endpoint ${this._options.endpoint} ${reason}`, { retryAfterMs })
  }
}
