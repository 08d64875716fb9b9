import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { PlacedCall } from '../entry/placed-call.js'
import { PassedEvents } from './passed-events.js'
import type { ResumedStreamOptions } from './resumed-stream-options.js'
import type { StreamEvent } from './stream-event.js'
import { StreamEventSplitter } from './stream-event-splitter.js'

/** Resumptions without a new event in between; beyond it the engine counts as lost. */
const MAXIMUM_FRUITLESS_RESUMPTIONS = 3
/** Engines that may be lost under one answer. */
const MAXIMUM_REGENERATIONS = 3
const DONE = Buffer.from('data: [DONE]')
const OK = 200

/**
 * A streamed answer of which the reader gets each event once and in order, whatever breaks on the way. Only
 * whole events are passed on. When a connection breaks or falls silent, the stream is resumed by its event ids
 * on a new one.
 *
 * If the engine is lost, another computes the answer anew. What the reader has already is compared event by event
 * and not passed on again; if the new answer differs, as it does unless decoding is deterministic, the stream ends
 * as incomplete, since two halves of different answers are no answer.
 */
export class ResumedStream implements AsyncIterable<Uint8Array> {
  private readonly _options: ResumedStreamOptions
  private readonly _splitter = new StreamEventSplitter()
  private readonly _passed = new PassedEvents()
  private _placed: PlacedCall
  /** Id of the next event of the engine's stream; below the count of passed events while an answer is compared. */
  private _position = 0
  private _done = false
  private _fruitless = 0
  private _regenerations = 0

  /**
   * @param options the answer's head and the ways to go on
   */
  constructor (options: ResumedStreamOptions) {
    this._options = options
    this._placed = options.placed
  }

  /** The call as it was last sent. */
  get call (): PlacedCall['call'] {
    return this._placed.call
  }

  /** Events passed on so far. */
  get eventCount (): number {
    return this._passed.count
  }

  /**
   * Yields the bytes of whole events.
   * @throws {MimosarockError} STREAM_INCOMPLETE if the rest can't be had
   */
  async * [Symbol.asyncIterator] (): AsyncGenerator<Uint8Array> {
    while (!this._done) {
      try {
        for await (const chunk of this._placed.answer.body) {
          const fresh = this._takeFresh(this._splitter.push(chunk))
          if (fresh !== undefined) yield fresh
          if (this._done) return
        }
        await this._goOn(new Error('the stream ended before its last event'))
      } catch (error) {
        this._throwIfFinal(error)
        await this._goOn(error)
      }
    }
  }

  /** Bytes of the events that were not passed on yet. */
  private _takeFresh (events: readonly StreamEvent[]): Uint8Array | undefined {
    const fresh: Buffer[] = []
    for (const event of events) {
      const id = event.id ?? this._position
      if (id < this._position) continue
      if (id > this._position) throw new Error(`event ${id} came in place of ${this._position}`)
      this._position += 1
      if (id < this._passed.count) {
        if (!this._passed.matches(id, event.bytes)) throw this._incomplete('the engine is lost and a new answer differs')
        continue
      }
      this._fruitless = 0
      this._passed.add(event.bytes)
      fresh.push(event.bytes)
      if (event.bytes.includes(DONE)) this._done = true
    }
    if (fresh.length === 0) return undefined
    return fresh.length === 1 ? fresh[0] : Buffer.concat(fresh)
  }

  /** Opens the stream again after it broke, at its engine or at another. */
  private async _goOn (cause: unknown): Promise<void> {
    let reason = cause
    while (this._options.remainingMs() > 0) {
      // Before its first event an engine may well be silent for long: it computes the prompt.
      if (this._position > 0 || !isSilence(reason)) this._fruitless += 1
      this._splitter.reset()
      this._options.onResume(this._position)
      try {
        this._placed = this._fruitless > MAXIMUM_FRUITLESS_RESUMPTIONS ? await this._regenerate(reason) : await this._resume()
        return
      } catch (error) {
        this._throwIfFinal(error)
        reason = error
      }
    }
    throw this._incomplete(reason)
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
    const answer = await this._options.dispatch.dispatch(call, this._options.signal)
    if (answer.status === OK) return { call, answer }
    for await (const chunk of answer.body) if (chunk.length === 0) break
    this._fruitless = MAXIMUM_FRUITLESS_RESUMPTIONS
    throw new Error('the engine no longer has the stream')
  }

  private async _regenerate (reason: unknown): Promise<PlacedCall> {
    if (this._regenerations === MAXIMUM_REGENERATIONS) throw this._incomplete(reason)
    this._regenerations += 1
    const placed = await this._options.restart()
    if (placed.answer.status !== OK) throw this._incomplete(`the call was answered with status ${placed.answer.status}`)
    this._fruitless = 0
    this._position = 0
    return placed
  }

  private _throwIfFinal (error: unknown): void {
    if (this._options.signal.aborted) throw error
    if (error instanceof MimosarockError && error.code === ResultCode.STREAM_INCOMPLETE) throw error
  }

  private _incomplete (reason: unknown): MimosarockError {
    return new MimosarockError(ResultCode.STREAM_INCOMPLETE, `the answer broke off after ${this._passed.count} events: ${String(reason)}`, {
      run: RunState.RAN,
      cause: reason
    })
  }
}

function isSilence (error: unknown): boolean {
  return error instanceof MimosarockError && error.code === ResultCode.ENDPOINT_SILENT
}
