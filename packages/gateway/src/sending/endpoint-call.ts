import { Readable } from 'node:stream'
import type { Dispatcher, Pool } from 'undici'
import type { AnswerHead } from '../model/answer-head.js'
import type { WireCodec } from '../model/wire-codec.js'
import type { AnswerReceiver } from './answer-receiver.js'
import { CallOutcome } from './call-outcome.js'
import type { CallResult } from './call-result.js'
import type { EndpointCallRequest } from './endpoint-call-request.js'

/** Longest body that is written at once, in bytes; what a socket buffers before it asks its writer to wait. */
const LONGEST_WHOLE_BODY_BYTES = 16_384
/** Longest time for the rest of a rejection to arrive, in milliseconds; it is in the same packet as its head as a rule. */
const REJECTION_REST_MS = 500
const FIRST_FINAL_STATUS = 200
const FIRST_FAILURE_STATUS = 300

/** One call to an endpoint. */
export class EndpointCall implements Dispatcher.DispatchHandler {
  private readonly _request: EndpointCallRequest
  private readonly _codec: WireCodec
  private readonly _receiver: AnswerReceiver
  private readonly _resolve: (result: CallResult) => void
  private _controller: Dispatcher.DispatchController | undefined
  private _head: AnswerHead | undefined
  private _isEnded = false
  private _dropTimer: NodeJS.Timeout | undefined

  /** Resolves when the call has ended. */
  readonly result: Promise<CallResult>

  /**
   * @param request what is sent
   * @param codec reads the answer's head
   * @param receiver takes the answer
   */
  constructor (request: EndpointCallRequest, codec: WireCodec, receiver: AnswerReceiver) {
    this._request = request
    this._codec = codec
    this._receiver = receiver
    let resolve: (result: CallResult) => void = () => undefined
    this.result = new Promise((_resolve) => { resolve = _resolve })
    this._resolve = resolve
  }

  /** Whether bytes of the request may have reached the endpoint. */
  get isSent (): boolean {
    return this._controller !== undefined
  }

  /**
   * Sends the request.
   * @param pool connections to the endpoint
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
   * Ends the call and closes its connection.
   * @param problem why, for the log
   */
  abort (problem: string): void {
    this._end(this.isSent ? CallOutcome.ABORTED : CallOutcome.NOT_SENT, problem)
  }

  /** Lets more bytes come after the receiver asked to wait. */
  resume (): void {
    if (!this._isEnded) this._controller?.resume()
  }

  /**
   * The request is about to be written.
   * @param controller ends or pauses the call
   */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    // The call may have been ended while it waited for a connection; then it must never be written.
    if (this._isEnded) controller.abort(new Error('ended before it was sent'))
    else this._controller = controller
  }

  /**
   * The head of an answer arrived.
   * @param controller ends or pauses the call
   * @param status HTTP status
   */
  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (this._isEnded || status < FIRST_FINAL_STATUS) return
    const head = this._codec.readAnswerHead(status, textHeaders(controller.rawHeaders))
    this._head = head
    const problem = this._problemOf(head)
    if (problem !== undefined) return this._end(CallOutcome.INVALID, problem)
    if (head.isNotRun) return this._end(CallOutcome.REJECTED, `status ${status}`)
    if (!this._receiver.start(head)) return this._end(CallOutcome.BROKEN, `status ${status} in place of the rest of a stream`)
  }

  /**
   * Bytes of the answer arrived.
   * @param controller ends or pauses the call
   * @param chunk the bytes
   */
  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._isEnded) return
    if (!this._receiver.data(chunk)) controller.pause()
  }

  /** The answer is whole. */
  onResponseEnd (): void {
    clearTimeout(this._dropTimer)
    this._end(CallOutcome.COMPLETE, undefined)
  }

  /**
   * The call failed.
   * @param _controller ends or pauses the call
   * @param error what happened
   */
  onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    clearTimeout(this._dropTimer)
    const problem = (error as NodeJS.ErrnoException).code ?? error.message
    if (!this.isSent) return this._end(CallOutcome.NOT_SENT, problem)
    this._end(this._head === undefined ? CallOutcome.NO_ANSWER : CallOutcome.BROKEN, problem)
  }

  private _headers (): string[] {
    const { headers, body } = this._request
    return body.length > LONGEST_WHOLE_BODY_BYTES ? [...headers, 'Content-Length', String(body.length)] : headers
  }

  /** Why an answer can't be the endpoint's answer to this request; undefined if it can. */
  private _problemOf (head: AnswerHead): string | undefined {
    if (head.requestId !== undefined && head.requestId !== this._request.id) return 'answer to another request'
    const isSuccess = head.status < FIRST_FAILURE_STATUS
    if (isSuccess && !head.isSigned) return 'success without a signature'
    if (isSuccess && head.requestId === undefined) return 'success without the request\'s identity'
    if (head.isEncoded) return 'encoded body'
    return undefined
  }

  private _end (outcome: CallOutcome, problem: string | undefined): void {
    if (this._isEnded) return
    this._isEnded = true
    this._resolve({ outcome, head: this._head, problem })
    if (outcome === CallOutcome.COMPLETE || outcome === CallOutcome.NOT_SENT) return
    const error = new Error(problem ?? outcome)
    if (outcome === CallOutcome.REJECTED) this._dropRest(error)
    else this._controller?.abort(error)
  }

  /** Reads a rejection to its end unseen, so that its connection can be used again; there are many under load. */
  private _dropRest (error: Error): void {
    this._dropTimer = setTimeout(() => this._controller?.abort(error), REJECTION_REST_MS)
  }
}

/**
 * A long body goes out in parts, so that the HTTP client knows at the end of an early answer that the endpoint has not
 * taken all of it, and uses the connection for nothing else.
 * @param body the whole body
 */
function asDispatchBody (body: Buffer): Buffer | Readable | null {
  if (body.length === 0) return null
  return body.length > LONGEST_WHOLE_BODY_BYTES ? Readable.from(partsOf(body)) : body
}

function * partsOf (body: Buffer): Generator<Buffer> {
  for (let start = 0; start < body.length; start += LONGEST_WHOLE_BODY_BYTES) {
    yield body.subarray(start, start + LONGEST_WHOLE_BODY_BYTES)
  }
}

function textHeaders (rawHeaders: unknown): string[] {
  return ((rawHeaders ?? []) as (Buffer | string)[]).map((value) => typeof value === 'string' ? value : value.toString('latin1'))
}
