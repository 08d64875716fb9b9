import { discardBody } from '@mimosarock/coordination/http/discard-body.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { PlacedCall } from '../entry/placed-call.js'
import { DeliveredEvents } from './delivered-events.js'
import type { ResumableStreamOptions } from './resumable-stream-options.js'
import type { StreamEvent } from './stream-event.js'
import { StreamEventSplitter } from './stream-event-splitter.js'

/** Maximum number of consecutive resumptions without a new event; beyond it the engine is considered lost. */
const MAXIMUM_RESUMPTIONS_WITHOUT_PROGRESS = 3
/** Maximum number of engines that may be lost during one response. */
const MAXIMUM_REGENERATIONS = 3
const DONE = Buffer.from('data: [DONE]')
const OK = 200

/**
 * A streamed response that delivers each event exactly once and in order across connection failures. Only complete
 * events are delivered. When a connection fails or times out, the stream is resumed on a new connection by its event
 * ids.
 *
 * If the engine is lost, another engine regenerates the response. Its events are compared with those already
 * delivered, which are not delivered again. If the regenerated response differs, as it does unless decoding is
 * deterministic, the stream ends as incomplete, because two halves of different responses must not be joined.
 */
export class ResumableStream implements AsyncIterable<Uint8Array> {
  private readonly _options: ResumableStreamOptions
  private readonly _splitter = new StreamEventSplitter()
  private readonly _delivered = new DeliveredEvents()
  private _placed: PlacedCall
  /** Id of the engine's next event; less than the delivered count while a regenerated response is compared. */
  private _position = 0
  private _done = false
  private _resumptionsWithoutProgress = 0
  private _regenerations = 0

  /**
   * @param options the initial response, and how to resume and restart the call
   */
  constructor (options: ResumableStreamOptions) {
    this._options = options
    this._placed = options.placed
  }

  /** The call as last sent. */
  get call (): PlacedCall['call'] {
    return this._placed.call
  }

  /** Number of events delivered so far. */
  get eventCount (): number {
    return this._delivered.count
  }

  /**
   * Yields the bytes of complete events.
   * @throws {MimosarockError} STREAM_INCOMPLETE if the remaining events can't be obtained
   */
  async * [Symbol.asyncIterator] (): AsyncGenerator<Uint8Array> {
    while (!this._done) {
      try {
        for await (const chunk of this._placed.response.body) {
          const undelivered = this._takeUndelivered(this._splitter.push(chunk))
          if (undelivered !== undefined) yield undelivered
          if (this._done) return
        }
        await this._reopen(new Error('the stream ended before its last event'))
      } catch (error) {
        this._throwIfFinal(error)
        await this._reopen(error)
      }
    }
  }

  /** Checks the order of the events and returns the bytes of those not delivered yet. */
  private _takeUndelivered (events: readonly StreamEvent[]): Uint8Array | undefined {
    const undelivered: Buffer[] = []
    for (const event of events) {
      const id = event.id ?? this._position
      if (id < this._position) continue
      if (id > this._position) throw new Error(`received event ${id}, expected ${this._position}`)
      this._position += 1
      if (id < this._delivered.count) {
        if (!this._delivered.matches(id, event.bytes)) throw this._incompleteError('the engine was lost and the regenerated response differs')
        continue
      }
      this._resumptionsWithoutProgress = 0
      this._delivered.add(event.bytes)
      undelivered.push(event.bytes)
      if (event.bytes.includes(DONE)) this._done = true
    }
    if (undelivered.length === 0) return undefined
    return undelivered.length === 1 ? undelivered[0] : Buffer.concat(undelivered)
  }

  /** Reopens the stream after a failure, at its engine or at another one. */
  private async _reopen (cause: unknown): Promise<void> {
    let reason = cause
    while (this._options.remainingMs() > 0) {
      // Timeouts before the first event are not counted: the engine may still be processing a long prompt.
      if (this._position > 0 || !isSilenceTimeout(reason)) this._resumptionsWithoutProgress += 1
      this._splitter.reset()
      this._options.onResume(this._position)
      try {
        this._placed = this._resumptionsWithoutProgress > MAXIMUM_RESUMPTIONS_WITHOUT_PROGRESS ? await this._regenerate(reason) : await this._resume()
        return
      } catch (error) {
        this._throwIfFinal(error)
        reason = error
      }
    }
    throw this._incompleteError(reason)
  }

  private async _resume (): Promise<PlacedCall> {
    const call = {
      ...this._placed.call,
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(this._placed.call.requestId)}?from=${this._position}`,
      headers: {},
      body: undefined,
      resumeFrom: this._position,
      waitMs: 0,
      remainingMs: this._options.remainingMs()
    }
    const resumed = await this._options.dispatch.dispatch(call, this._options.signal)
    if (resumed.status === OK) return { call, response: resumed }
    await discardBody(resumed.body)
    this._resumptionsWithoutProgress = MAXIMUM_RESUMPTIONS_WITHOUT_PROGRESS
    throw new Error('the engine no longer has the stream')
  }

  private async _regenerate (reason: unknown): Promise<PlacedCall> {
    if (this._regenerations === MAXIMUM_REGENERATIONS) throw this._incompleteError(reason)
    this._regenerations += 1
    const placed = await this._options.restart()
    if (placed.response.status !== OK) throw this._incompleteError(`the restarted call returned status ${placed.response.status}`)
    this._resumptionsWithoutProgress = 0
    this._position = 0
    return placed
  }

  private _throwIfFinal (error: unknown): void {
    if (this._options.signal.aborted) throw error
    if (error instanceof MimosarockError && error.code === ResultCode.STREAM_INCOMPLETE) throw error
  }

  private _incompleteError (reason: unknown): MimosarockError {
    return new MimosarockError(ResultCode.STREAM_INCOMPLETE, `the response broke off after ${this._delivered.count} events: ${String(reason)}`, {
      run: RunState.RAN,
      cause: reason
    })
  }
}

function isSilenceTimeout (error: unknown): boolean {
  return error instanceof MimosarockError && error.code === ResultCode.ENDPOINT_SILENT
}
