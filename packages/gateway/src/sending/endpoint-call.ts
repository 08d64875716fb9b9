import { Readable } from 'node:stream'
import { RESPONSE_TOO_LONG } from '@mimosarock/coordination/http/response-too-long.js'
import type { Dispatcher, Pool } from 'undici'
import type { ResponseHead } from '../model/response-head.js'
import type { WireCodec } from '../model/wire-codec.js'
import type { ResponseReceiver } from './response-receiver.js'
import { CallOutcome } from './call-outcome.js'
import type { CallResult } from './call-result.js'
import type { EndpointCallHooks } from './endpoint-call-hooks.js'
import type { EndpointCallRequest } from './endpoint-call-request.js'
import { findUnusableResponse } from './find-unusable-response.js'
import type { ReadPacer } from './read-pacer.js'

/** Maximum size of a body that is written in one piece; equals the buffer size at which a socket applies back pressure. */
const MAXIMUM_UNCHUNKED_BODY_BYTES = 16_384
/** Timeout for the body of a rejection, in milliseconds; it usually arrives in the same packet as the head. */
const REJECTION_BODY_TIMEOUT_MS = 500
/** Maximum length of the body of a rejection, in bytes; a longer one is not awaited. */
const MAXIMUM_REJECTION_BYTES = 65_536
/** Maximum number of informational responses before the final one. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 8
/** Error codes of responses that did not end: of the connection, and of the HTTP client. */
const ENDLESS_CODES = new Set([RESPONSE_TOO_LONG, 'UND_ERR_HEADERS_OVERFLOW'])
const FIRST_FINAL_STATUS = 200

/** A single HTTP call to an endpoint, which validates the response and classifies its outcome. */
export class EndpointCall implements Dispatcher.DispatchHandler {
  private readonly _request: EndpointCallRequest
  private readonly _codec: WireCodec
  private readonly _receiver: ResponseReceiver
  private readonly _hooks: EndpointCallHooks | undefined
  private readonly _resolve: (result: CallResult) => void
  private _controller: Dispatcher.DispatchController | undefined
  private _head: ResponseHead | undefined
  private _isEnded = false
  private _receivedParts = 0
  private _informationalResponses = 0
  private _discardedBytes = 0
  private _isPaused = false
  private _isDelayed = false
  /** Parts of the read that is being processed, and when it began. */
  private _partsOfRead = 0
  private _readStartedAt = 0
  private _isConnectionLost = false
  private _isEndless = false
  private _discardTimer: NodeJS.Timeout | undefined

  /** Resolves when the call has ended; never rejects. */
  readonly result: Promise<CallResult>

  /**
   * @param request request to send
   * @param codec decodes the response head
   * @param receiver consumes the response
   * @param hooks asked before the request is written and told of each head; undefined for none
   */
  constructor (request: EndpointCallRequest, codec: WireCodec, receiver: ResponseReceiver, hooks?: EndpointCallHooks) {
    this._request = request
    this._codec = codec
    this._receiver = receiver
    this._hooks = hooks
    let resolve: (result: CallResult) => void = () => undefined
    this.result = new Promise((_resolve) => { resolve = _resolve })
    this._resolve = resolve
  }

  /** Whether bytes of the request may have reached the endpoint. */
  get isSent (): boolean {
    return this._controller !== undefined
  }

  /** Whether reading is paused because the receiver applied back pressure. */
  get isPaused (): boolean {
    return this._isPaused
  }

  /** Whether reading is delayed, since the last read took much time. */
  get isDelayed (): boolean {
    return this._isDelayed
  }

  /** Number of parts of the response received so far; the head is one. */
  get receivedParts (): number {
    return this._receivedParts
  }

  /**
   * Sends the request over a connection of a pool.
   * @param pool connection pool of the endpoint
   */
  send (pool: Pool): void {
    pool.dispatch({
      method: this._request.method as Dispatcher.HttpMethod,
      path: this._request.path,
      headers: this._headers(),
      body: asDispatchBody(this._request.body)
    }, this)
  }

  /**
   * Aborts the call and closes its connection.
   * @param problem reason, for the log
   */
  abort (problem: string): void {
    this._end(this.isSent ? CallOutcome.ABORTED : CallOutcome.NOT_SENT, problem)
  }

  /**
   * Gives up the call because of a lack of progress, as if its connection had failed, and closes its connection.
   * @param problem reason, for the log
   */
  giveUp (problem: string): void {
    if (!this.isSent) return this._end(CallOutcome.NOT_SENT, problem)
    this._end(this._head === undefined ? CallOutcome.NO_ANSWER : CallOutcome.BROKEN, problem)
  }

  /** Resumes the response after the receiver applied back pressure. */
  resume (): void {
    this._isPaused = false
    this._readOn()
  }

  /**
   * Called by the HTTP client just before it writes the request.
   * @param controller aborts, pauses or resumes the call
   */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    // A call that ended while it was queued for a connection must not be written.
    if (!this._isEnded && this._hooks?.mayStart() === false) this._end(CallOutcome.NOT_SENT, 'the endpoint takes no more requests')
    if (this._isEnded) controller.abort(new Error('call ended before the request was sent'))
    else this._controller = controller
  }

  /**
   * Called by the HTTP client when a response head has arrived.
   * @param controller aborts, pauses or resumes the call
   * @param status HTTP status
   */
  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (this._isEnded) return
    if (status < FIRST_FINAL_STATUS) return this._countInformational()
    this._receivedParts += 1
    const head = this._codec.readResponseHead(status, textHeaders(controller.rawHeaders))
    this._head = head
    if (head.requestId === this._request.id) this._hooks?.headReceived(head)
    const unusable = findUnusableResponse(head, this._request)
    if (unusable !== undefined) return this._end(unusable.outcome, unusable.problem)
    if (!this._receiver.start(head)) return this._end(CallOutcome.BROKEN, `status ${status} does not resume the stream`)
  }

  /**
   * Called by the HTTP client when a part of the response body has arrived.
   * @param controller aborts, pauses or resumes the call
   * @param chunk bytes of the body
   */
  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._countPart(controller)
    if (this._isEnded) return this._discard(controller, chunk)
    this._receivedParts += 1
    const hasCapacity = this._receiver.data(chunk)
    const problem = this._receiver.findProblem(false)
    if (problem !== undefined) return this._endEndless(CallOutcome.BROKEN, problem)
    if (hasCapacity) return
    this._isPaused = true
    controller.pause()
  }

  /** Called by the HTTP client when the response is complete. */
  onResponseEnd (): void {
    clearTimeout(this._discardTimer)
    if (this._isEnded) return
    const problem = this._receiver.findProblem(true)
    if (problem === undefined) return this._end(CallOutcome.COMPLETE, undefined)
    // Without a length, the end of the response is the end of its connection.
    this._isConnectionLost = this._head?.isDelimited === false
    this._end(CallOutcome.BROKEN, problem)
  }

  /**
   * Called by the HTTP client when the call failed.
   * @param _controller aborts, pauses or resumes the call
   * @param error cause of the failure
   */
  onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    clearTimeout(this._discardTimer)
    const problem = (error as NodeJS.ErrnoException).code ?? error.message
    if (!this.isSent) return this._end(CallOutcome.NOT_SENT, problem)
    const outcome = this._head === undefined ? CallOutcome.NO_ANSWER : CallOutcome.BROKEN
    if (ENDLESS_CODES.has(problem)) return this._endEndless(outcome, problem)
    this._isConnectionLost = true
    this._end(outcome, problem)
  }

  private _headers (): string[] {
    const { headers, body } = this._request
    return body.length > MAXIMUM_UNCHUNKED_BODY_BYTES ? [...headers, 'Content-Length', String(body.length)] : headers
  }

  private _countInformational (): void {
    this._informationalResponses += 1
    if (this._informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES) this._endEndless(CallOutcome.NO_ANSWER, 'too many informational responses')
  }

  private _discard (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._discardedBytes += chunk.length
    if (this._discardedBytes > MAXIMUM_REJECTION_BYTES) controller.abort(new Error('the body of the rejection is too long'))
  }

  private _countPart (controller: Dispatcher.DispatchController): void {
    const pacer = this._hooks?.readPacer
    this._partsOfRead += 1
    if (pacer === undefined || this._partsOfRead > 1) return
    this._readStartedAt = pacer.beginRead()
    // All parts of one read are delivered before this.
    process.nextTick(() => this._endRead(pacer, controller))
  }

  private _endRead (pacer: ReadPacer, controller: Dispatcher.DispatchController): void {
    const delayMs = pacer.endRead(this._readStartedAt, this._partsOfRead)
    this._partsOfRead = 0
    if (delayMs === 0 || this._isDelayed) return
    this._isDelayed = true
    controller.pause()
    setTimeout(() => {
      this._isDelayed = false
      this._readOn()
    }, delayMs)
  }

  /** Lets the HTTP client read on unless there is a reason to wait. What follows a response that has ended is discarded, for which no caller has to be waited. */
  private _readOn (): void {
    if (this._isDelayed || (this._isPaused && !this._isEnded)) return
    this._controller?.resume()
  }

  /** Ends a call whose response would not end; its connection was not lost, the router closes it. */
  private _endEndless (outcome: CallOutcome, problem: string): void {
    this._isEndless = true
    this._end(outcome, problem)
  }

  private _end (outcome: CallOutcome, problem: string | undefined): void {
    if (this._isEnded) return
    this._isEnded = true
    this._resolve({ outcome, head: this._head, isConnectionLost: this._isConnectionLost, isEndless: this._isEndless, problem })
    if (outcome === CallOutcome.COMPLETE || outcome === CallOutcome.NOT_SENT) return
    const error = new Error(problem ?? outcome)
    if (outcome === CallOutcome.REJECTED) this._discardRest(error)
    else this._controller?.abort(error)
  }

  /**
   * Lets the rest of a rejection arrive, which is discarded, and aborts the call only if it takes too long. The connection
   * can then be reused; rejections are frequent under load.
   */
  private _discardRest (error: Error): void {
    this._discardTimer = setTimeout(() => this._controller?.abort(error), REJECTION_BODY_TIMEOUT_MS)
  }
}

/**
 * Returns the body in the form in which it is dispatched. A long body is streamed in chunks. If the endpoint responds
 * early, the HTTP client can then tell that the body was not fully sent, and does not reuse the connection.
 * @param body complete body
 */
function asDispatchBody (body: Buffer): Buffer | Readable | null {
  if (body.length === 0) return null
  return body.length > MAXIMUM_UNCHUNKED_BODY_BYTES ? Readable.from(chunksOf(body)) : body
}

function * chunksOf (body: Buffer): Generator<Buffer> {
  for (let start = 0; start < body.length; start += MAXIMUM_UNCHUNKED_BODY_BYTES) {
    yield body.subarray(start, start + MAXIMUM_UNCHUNKED_BODY_BYTES)
  }
}

function textHeaders (rawHeaders: unknown): string[] {
  return ((rawHeaders ?? []) as (Buffer | string)[]).map((value) => typeof value === 'string' ? value : value.toString('latin1'))
}
