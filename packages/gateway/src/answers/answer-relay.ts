import type { AnswerHead } from '../model/answer-head.js'
import type { AnswerReceiver } from '../sending/answer-receiver.js'
import type { AnswerRelayOptions } from './answer-relay-options.js'
import { EventSplitter } from './event-splitter.js'

/** Answers up to this length are sent once they are whole, in one write, and can still be replaced before. */
const COLLECTED_BYTES = 65_536
/** Bytes that may wait for a slow caller before the endpoint is asked to pause. */
const MAXIMUM_WAITING_BYTES = 262_144
const FIRST_FAILURE_STATUS = 300

/** Passes an endpoint's answer on to the caller. */
export class AnswerRelay implements AnswerReceiver {
  private readonly _options: AnswerRelayOptions
  private readonly _splitter: EventSplitter | undefined
  private _head: AnswerHead | undefined
  private _collected: Buffer[] = []
  private _collectedBytes = 0
  private _isStarted = false
  private _isWhole = false

  /**
   * @param options who takes the answer, and how
   */
  constructor (options: AnswerRelayOptions) {
    this._options = options
    this._splitter = options.isResumable ? new EventSplitter() : undefined
  }

  /** Whether bytes were written to the caller, so that the answer can't be replaced any more. */
  get isStarted (): boolean {
    return this._isStarted
  }

  /** Head of the answer that is being passed on. */
  get head (): AnswerHead | undefined {
    return this._head
  }

  /** Whether a whole answer is kept that the caller has nothing of yet. */
  get hasWholeAnswer (): boolean {
    return this._isWhole && !this._isStarted
  }

  /** Identity of the last event that the caller has; undefined if there is none. */
  get lastEventId (): string | undefined {
    return this._splitter?.lastEventId
  }

  /**
   * Takes the head of an answer; a stream that goes on at another endpoint keeps its first head.
   * @param head of the answer
   */
  start (head: AnswerHead): boolean {
    if (this._isStarted) return head.status === this._head?.status
    this._head = head
    this._isWhole = false
    this._collected = []
    this._collectedBytes = 0
    this._splitter?.dropRest()
    return true
  }

  /**
   * Takes bytes of the body.
   * @param chunk as it arrived
   */
  data (chunk: Buffer): boolean {
    if (this._isPassedAsItArrives()) {
      const ready = this._splitter === undefined ? chunk : this._splitter.push(chunk)
      return ready.length === 0 || this._write(ready)
    }
    this._collected.push(chunk)
    this._collectedBytes += chunk.length
    if (this._collectedBytes <= COLLECTED_BYTES) return true
    const bytes = Buffer.concat(this._collected)
    this._collected = []
    return this._write(bytes)
  }

  /** The answer is whole. */
  finish (): void {
    const { response } = this._options
    if (this._isStarted) {
      const rest = this._splitter?.rest
      response.end(rest !== undefined && rest.length > 0 ? rest : undefined)
      return
    }
    this._writeHead(this._collectedBytes)
    response.end(Buffer.concat(this._collected))
  }

  /** Keeps the whole answer of a failure, in case no other endpoint has a better one. */
  keepWholeAnswer (): void {
    this._isWhole = true
  }

  /** Forgets the beginning of an event that will come again from another endpoint. */
  prepareResumption (): void {
    this._splitter?.dropRest()
  }

  /** Breaks the answer off, so that the caller sees that it is not whole. */
  breakOff (): void {
    this._options.response.destroy()
  }

  private _isPassedAsItArrives (): boolean {
    if (this._isStarted) return true
    return this._options.isStream && this._head !== undefined && this._head.status < FIRST_FAILURE_STATUS
  }

  private _write (bytes: Buffer): boolean {
    const { response } = this._options
    if (!this._isStarted) this._writeHead(undefined)
    response.write(bytes)
    return response.writableLength < MAXIMUM_WAITING_BYTES
  }

  private _writeHead (length: number | undefined): void {
    const head = this._head as AnswerHead
    const headers = [...head.headers]
    if (length !== undefined) headers.push('Content-Length', String(length))
    if (this._options.closesConnection()) headers.push('Connection', 'close')
    this._options.response.writeHead(head.status, headers)
    this._isStarted = true
    this._options.started()
  }
}
