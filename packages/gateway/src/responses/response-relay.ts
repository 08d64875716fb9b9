import { ByteBuffer } from '@mimosarock/coordination/http/byte-buffer.js'
import type { ResponseHead } from '../model/response-head.js'
import type { ResponseReceiver } from '../sending/response-receiver.js'
import type { ResponseRelayOptions } from './response-relay-options.js'
import { CallerOutput } from './caller-output.js'
import { EventSplitter } from './event-splitter.js'

/**
 * Responses up to this length are buffered and sent in one write when complete; until then a retry can replace them. An unfinished event of this length is
 * kept without regard to the memory of other requests.
 */
const MAXIMUM_BUFFERED_BYTES = 65_536
/** Unsent bytes for a slow caller above which reading from the endpoint is paused. */
const MAXIMUM_UNSENT_BYTES = 262_144
/**
 * Time without reading from the endpoint after which it may have cut off its response, in milliseconds. Endpoints do so after some
 * seconds; a part of them may have passed before the router noticed that the caller does not read.
 */
const UNREAD_MS = 1_000
/** Maximum length of one event of a stream. */
const MAXIMUM_EVENT_BYTES = 1_048_576
const FIRST_FAILURE_STATUS = 300
const EVENT_STREAM_TYPE = 'text/event-stream'

/**
 * Forwards an endpoint's response to the caller, buffered or streamed. Of an event stream only complete events are forwarded, as they
 * arrive; one that breaks inside an event can then be resumed at another endpoint.
 */
export class ResponseRelay implements ResponseReceiver {
  private readonly _options: ResponseRelayOptions
  /** Splits the stream; undefined unless the response is an event stream. */
  private _splitter: EventSplitter | undefined
  private _head: ResponseHead | undefined
  private readonly _output: CallerOutput
  private readonly _buffered = new ByteBuffer()
  private _isStarted = false
  private _isComplete = false
  private _usableBytes = 0
  /** Whether the end of the response of the present call is marked, and whether any of it could be forwarded. */
  private _isDelimited = false
  private _hasUsableBytes = false
  /** Whether there is no memory for the rest of the event that is arriving. */
  private _isEventRefused = false
  /** Time since which nothing is read from the endpoint; undefined while it is read. */
  private _pausedAt: number | undefined
  /** Time at which the present call began, or a moment before. */
  private _callBegunAt: number
  /** Whether the response of the present call was not read for so long that the endpoint may have cut it off. */
  private _wasUnread = false

  /**
   * @param options response to the caller and how to forward to it
   */
  constructor (options: ResponseRelayOptions) {
    this._options = options
    this._output = new CallerOutput(options.response)
    this._callBegunAt = options.now()
  }

  /** Whether the response head was written to the caller; the response can no longer be replaced. */
  get isStarted (): boolean {
    return this._isStarted
  }

  /** Number of bytes of the response that the caller has not taken yet. */
  get unsentBytes (): number {
    return this._output.unsentBytes
  }

  /** Number of bytes received so far that can be forwarded: whole events of an event stream, else all bytes. */
  get usableBytes (): number {
    return this._usableBytes
  }

  /** Head of the response that is being forwarded. */
  get head (): ResponseHead | undefined {
    return this._head
  }

  /** Whether a complete response is buffered of which nothing was written to the caller yet. */
  get hasBufferedResponse (): boolean {
    return this._isComplete && !this._isStarted
  }

  /** Whether the response was not read for so long, because of its caller or since the process stood still, that the endpoint may have cut it off. */
  get wasUnread (): boolean {
    this._checkPause()
    return this._wasUnread || this._options.stalls.hasStalledSince(this._callBegunAt)
  }

  /** Id of the last event sent to the caller; undefined if there is none. */
  get lastEventId (): string | undefined {
    return this._splitter?.lastEventId
  }

  /**
   * Whether another endpoint can continue the response: nothing of it was written to the caller, or the last event that was has an id,
   * after which the other endpoint goes on.
   */
  get canContinue (): boolean {
    return !this._isStarted || this._splitter?.endsWithId === true
  }

  /**
   * Starts a response. A stream that is resumed at another endpoint keeps its first head.
   * @param head head of the endpoint's response
   * @returns false if the response does not continue the stream that was begun; the call then counts as broken
   */
  start (head: ResponseHead): boolean {
    this._isDelimited = head.isDelimited
    this._hasUsableBytes = false
    this._pausedAt = undefined
    this._wasUnread = false
    this._isEventRefused = false
    if (this._isStarted) return head.status === this._head?.status && isEventStream(head)
    this._head = head
    this._isComplete = false
    this._buffered.clear()
    this._splitter = this._options.isStream && isEventStream(head) ? new EventSplitter() : undefined
    return true
  }

  /**
   * Forwards or buffers bytes of the body.
   * @param chunk bytes as they arrived
   * @returns false if reading from the endpoint should pause until the caller has caught up
   */
  data (chunk: Buffer): boolean {
    const hasCapacity = this._forward(chunk)
    this._checkPause()
    this._pausedAt = hasCapacity ? undefined : this._options.now()
    return hasCapacity
  }

  /** Writes what was collected for the caller, who has caught up, and records that reading from the endpoint is resumed. */
  resumed (): void {
    this._output.flush()
    this._checkPause()
    this._pausedAt = undefined
  }

  private _checkPause (): void {
    if (this._pausedAt !== undefined && this._options.now() - this._pausedAt >= UNREAD_MS) this._wasUnread = true
  }

  private _forward (chunk: Buffer): boolean {
    if (this._isPassedThrough()) {
      const ready = this._splitter === undefined ? chunk : this._splitEvents(this._splitter, chunk)
      this._usableBytes += ready.length
      this._hasUsableBytes ||= ready.length > 0
      return ready.length === 0 || this._write(ready)
    }
    this._usableBytes += chunk.length
    this._buffered.append(chunk)
    return this._buffered.length <= MAXIMUM_BUFFERED_BYTES || this._write(this._buffered.take())
  }

  /** Returns the events that a chunk completes, and keeps the beginning of the next one; a long one only if there is memory for it. */
  private _splitEvents (splitter: EventSplitter, chunk: Buffer): Buffer {
    const events = splitter.push(chunk)
    const heldBytes = splitter.partialBytes > MAXIMUM_BUFFERED_BYTES ? splitter.heldBytes : 0
    if (!this._options.memory.holdEvent(heldBytes)) this._isEventRefused = true
    return events
  }

  findProblem (isEnded: boolean): string | undefined {
    if (isEnded && !this._isDelimited && this.wasUnread) return 'the connection ended after the response was not read for some time'
    if (this._splitter === undefined) return undefined
    if (this._splitter.partialBytes > MAXIMUM_EVENT_BYTES) return 'an event does not end'
    if (this._isEventRefused) return 'there is no memory for the rest of an event'
    if (!isEnded) return undefined
    if (this._splitter.partialBytes > 0) return 'the stream ended inside an event'
    // A connection that was closed is no sign that the stream had ended before its first event.
    return this._hasUsableBytes || this._isDelimited ? undefined : 'the stream ended before its first event'
  }

  /** Ends the response after its last byte. */
  finish (): void {
    if (this._isStarted) {
      this._output.end()
      return
    }
    const body = this._buffered.take()
    this._writeHead(body.length)
    this._options.response.end(body)
    this._options.memory.recordWritten(body.length)
  }

  /** Marks the buffered error response as complete; it is sent if no retry gets a response. */
  keepBufferedResponse (): void {
    this._isComplete = true
  }

  /** Discards a partial event, which another endpoint will send again in full. */
  prepareResumption (): void {
    this._callBegunAt = this._options.now()
    this._splitter?.discardPartialEvent()
    this._options.memory.holdEvent(0)
  }

  /** Closes the connection in the middle of the response; the caller can then detect that it is incomplete. */
  abortResponse (): void {
    this._output.flush()
    this._options.response.destroy()
  }

  private _isPassedThrough (): boolean {
    if (this._isStarted) return true
    return this._options.isStream && this._head !== undefined && this._head.status < FIRST_FAILURE_STATUS
  }

  private _write (bytes: Buffer): boolean {
    const { memory } = this._options
    if (!this._isStarted) this._writeHead(undefined)
    this._output.write(bytes)
    memory.recordWritten(bytes.length)
    return this._output.backlogBytes < Math.min(MAXIMUM_UNSENT_BYTES, memory.maximumUnsentBytes)
  }

  private _writeHead (length: number | undefined): void {
    const head = this._head as ResponseHead
    const headers = [...head.headers]
    if (length !== undefined) headers.push('Content-Length', String(length))
    if (this._options.closesConnection()) headers.push('Connection', 'close')
    this._options.response.writeHead(head.status, headers)
    this._isStarted = true
    this._options.onStart()
  }
}

// A stream that states no type is an event stream, as its route says.
function isEventStream ({ status, contentType }: ResponseHead): boolean {
  return status < FIRST_FAILURE_STATUS && (contentType === undefined || contentType.startsWith(EVENT_STREAM_TYPE))
}
