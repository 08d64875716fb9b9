import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { AdmissionRequest } from './admission-request.js'
import type { AdmissionTicket } from './admission-ticket.js'
import type { EndpointAdmissionOptions } from './endpoint-admission-options.js'
import { FairQueue } from './fair-queue.js'
import { ForeignLoad } from './foreign-load.js'
import type { LoadSource } from './load-source.js'
import type { QueuedRequest } from './queued-request.js'
import { ServiceTimes } from './service-times.js'

/** Pause asked of callers before the endpoint has any measured times, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 500
/** Sums of estimated loads may miss whole numbers by rounding. */
const ROUNDING = 1e-9

/**
 * Admission of one endpoint, at its owner. It knows the exact load in flight, keeps a bounded queue, and
 * refuses at once what can't be served in time. Everything it refuses has not run.
 *
 * @example
 * const ticket = await admission.admit(request, 250, signal)
 * try { await run(ticket) } finally { ticket.release() }
 */
export class EndpointAdmission implements LoadSource {
  private readonly _options: EndpointAdmissionOptions
  private readonly _queue = new FairQueue<QueuedRequest>()
  private readonly _times = new ServiceTimes()
  private readonly _foreign: ForeignLoad
  private _load = 0
  private _inFlight = 0
  private _queuedLoad = 0

  /**
   * @param options what the admission works with
   */
  constructor (options: EndpointAdmissionOptions) {
    this._options = options
    this._foreign = new ForeignLoad(options.clock)
  }

  /** Requests that run at the endpoint by this router's tickets. */
  get inFlight (): number {
    return this._inFlight
  }

  /** Requests that wait. */
  get queued (): number {
    return this._queue.size
  }

  /** Load of the requests in flight and of what the endpoint reports beyond them. */
  get load (): number {
    return this._load + this._foreign.load
  }

  /** Requests that the endpoint runs at once without queueing. */
  get capacity (): number {
    return this._options.capacity
  }

  /**
   * Time until a newly queued request of mean size would be admitted, by measured service times, in
   * milliseconds; 0 while nothing is measured.
   */
  get expectedWaitMs (): number {
    if (this._load <= 0) return 0
    return (this._queuedLoad + 1) * this._times.serviceMs / this._load
  }

  /**
   * Admits a request, after a wait if need be.
   * @param request the request
   * @param waitMs longest time in the queue, in milliseconds; 0 means none
   * @param signal ends the wait
   * @throws {MimosarockError} ENDPOINT_OVER_BOUND, QUEUE_FULL or DEADLINE_CANNOT_BE_MET, always `not-run`;
   * CALLER_GONE if the signal ends the wait
   */
  async admit (request: AdmissionRequest, waitMs: number, signal?: AbortSignal): Promise<AdmissionTicket> {
    if (signal?.aborted) throw this._refusal(ResultCode.CALLER_GONE, 'the caller gave up')
    // An idle endpoint gets the request all the same: only a new sample can show that it is faster again.
    if (this._inFlight > 0 && this._times.firstByteMs > request.remainingMs) {
      throw this._refusal(ResultCode.DEADLINE_CANNOT_BE_MET, 'takes longer to its first byte than the request has left')
    }
    if (this._queue.size === 0 && this._fits(request)) return this._grant(request.load)
    if (waitMs <= 0) throw this._refusal(ResultCode.ENDPOINT_OVER_BOUND, 'is at its bound')
    this._checkDeadline(request, waitMs)
    this._makeRoom(request)
    return await this._wait(request, Math.min(waitMs, request.remainingMs), signal)
  }

  /**
   * Takes the endpoint's report of its load, which shows the requests of other owners.
   * @param running requests that the endpoint runs or queues
   */
  noteReport (running: number): void {
    this._foreign.noteReport(running)
    this.recheck()
  }

  /** Admits waiting requests that fit by now; to be called after the limit may have grown. */
  recheck (): void {
    for (let next = this._queue.peek(); next !== undefined && this._fits(next.request); next = this._queue.peek()) {
      this._queue.take()
      this._queuedLoad -= next.load
      next.timer.abort()
      next.resolve(this._grant(next.load))
    }
  }

  /**
   * Refuses everything that waits, for an endpoint that is leaving or has failed.
   * @param error what the waiting requests are refused with
   */
  refuseQueued (error: MimosarockError): void {
    for (let next = this._queue.peek(); next !== undefined; next = this._queue.peek()) this._drop(next, error)
  }

  private _fits (request: AdmissionRequest): boolean {
    return this.load + request.load <= this._options.limit(request.hasContext) + ROUNDING
  }

  private _grant (load: number): AdmissionTicket {
    const admittedAt = this._options.clock.now()
    let released = false
    let answered = false
    this._load += load
    this._inFlight += 1
    this._foreign.noteOwn(this._load)
    return {
      noteFirstByte: () => {
        if (answered || released) return
        answered = true
        this._times.noteFirstByte(this._options.clock.now() - admittedAt)
      },
      release: () => {
        if (released) return
        released = true
        this._load = this._inFlight === 1 ? 0 : this._load - load
        this._inFlight -= 1
        this._foreign.noteOwn(this._load)
        // A call that never answered says how long the failure took, not the service.
        if (answered) this._times.noteService(this._options.clock.now() - admittedAt)
        this.recheck()
      }
    }
  }

  private _checkDeadline (request: AdmissionRequest, waitMs: number): void {
    const wait = this.expectedWaitMs
    if (wait + this._times.firstByteMs > request.remainingMs) {
      throw this._refusal(ResultCode.DEADLINE_CANNOT_BE_MET, `would admit after about ${Math.round(wait)} ms, too late for the request`)
    }
    if (wait > waitMs) {
      throw this._refusal(ResultCode.ENDPOINT_OVER_BOUND, `would admit after about ${Math.round(wait)} ms`)
    }
  }

  private _makeRoom (request: AdmissionRequest): void {
    if (this._queue.size < this._options.maximumQueued) return
    const full = this._refusal(ResultCode.QUEUE_FULL, 'has a full queue')
    const victim = this._queue.displacedBy(this._queuedRequest(request))
    if (victim === undefined) throw full
    this._drop(victim, full)
  }

  private async _wait (request: AdmissionRequest, waitMs: number, signal?: AbortSignal): Promise<AdmissionTicket> {
    return await new Promise<AdmissionTicket>((resolve, reject) => {
      const queued = this._queuedRequest(request, resolve, reject)
      this._queue.push(queued)
      this._queuedLoad += queued.load
      const giveUp = (): void => this._drop(queued, this._refusal(ResultCode.CALLER_GONE, 'the caller gave up'))
      signal?.addEventListener('abort', giveUp, { once: true, signal: queued.timer.signal })
      this._options.clock.sleep(waitMs, queued.timer.signal).then(() => {
        if (queued.timer.signal.aborted) return
        this._drop(queued, this._refusal(ResultCode.ENDPOINT_OVER_BOUND, 'stayed at its bound for the whole wait'))
      })
      this.recheck()
    })
  }

  private _queuedRequest (request: AdmissionRequest, resolve: QueuedRequest['resolve'] = () => {}, reject: QueuedRequest['reject'] = () => {}): QueuedRequest {
    const { workspace, priority, weight, load } = request
    return { request, workspace, priority, weight, load, queuedAt: this._options.clock.now(), timer: new AbortController(), resolve, reject }
  }

  private _drop (queued: QueuedRequest, error: MimosarockError): void {
    if (!this._queue.remove(queued)) return
    this._queuedLoad -= queued.load
    queued.timer.abort()
    queued.reject(error)
  }

  private _refusal (code: ResultCode, what: string): MimosarockError {
    const retryAfterMs = Math.ceil(this.expectedWaitMs) || DEFAULT_RETRY_AFTER_MS
    return new MimosarockError(code, `endpoint ${this._options.endpoint} ${what}`, { retryAfterMs })
  }
}
