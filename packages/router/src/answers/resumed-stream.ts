import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { PlacedCall } from '../entry/placed-call.js'
import type { ResumedStreamOptions } from './resumed-stream-options.js'
import type { StreamEvent } from './stream-event.js'
import { StreamEventSplitter } from './stream-event-splitter.js'

/** Resumptions without a new event in between; beyond it the endpoint is as good as gone. */
const MAXIMUM_FRUITLESS_RESUMPTIONS = 8
const DONE = Buffer.from('data: [DONE]')
const OK = 200

/**
 * A streamed answer of which the reader gets each event once and in order, whatever breaks on the way. Only
 * whole events are passed on. When a connection breaks or falls silent, the stream is resumed by its event ids
 * on a new one, through whoever owns the endpoint then.
 */
export class ResumedStream implements AsyncIterable<Uint8Array> {
  private readonly _options: ResumedStreamOptions
  private readonly _splitter = new StreamEventSplitter()
  private _placed: PlacedCall
  private _nextId = 0
  private _done = false
  private _fruitless = 0

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
    return this._nextId
  }

  /**
   * Yields the bytes of whole events.
   * @throws {MimosarockError} STREAM_INCOMPLETE if the rest can't be had
   */
  async * [Symbol.asyncIterator] (): AsyncGenerator<Uint8Array> {
    while (!this._done) {
      try {
        for await (const chunk of this._placed.answer.body) {
          const events = this._splitter.push(chunk)
          const fresh = this._takeFresh(events)
          if (fresh !== undefined) yield fresh
          if (this._done) return
        }
        await this._resume(new Error('the stream ended before its last event'))
      } catch (error) {
        if (this._options.signal.aborted) throw error
        if (error instanceof MimosarockError && error.code === ResultCode.STREAM_INCOMPLETE) throw error
        await this._resume(error)
      }
    }
  }

  /** Bytes of the events that were not passed on yet. */
  private _takeFresh (events: readonly StreamEvent[]): Uint8Array | undefined {
    const fresh: Buffer[] = []
    for (const event of events) {
      const id = event.id ?? this._nextId
      if (id < this._nextId) continue
      if (id > this._nextId) throw new Error(`event ${id} came in place of ${this._nextId}`)
      this._nextId += 1
      this._fruitless = 0
      fresh.push(event.bytes)
      if (event.bytes.includes(DONE)) this._done = true
    }
    if (fresh.length === 0) return undefined
    return fresh.length === 1 ? fresh[0] : Buffer.concat(fresh)
  }

  private async _resume (cause: unknown): Promise<void> {
    let reason = cause
    while (this._fruitless < MAXIMUM_FRUITLESS_RESUMPTIONS && this._options.remainingMs() > 0) {
      // Before its first event an engine may well be silent for long: it computes the prompt.
      if (this._nextId > 0 || !isSilence(reason)) this._fruitless += 1
      this._splitter.reset()
      this._options.onResume(this._nextId)
      try {
        this._placed = await this._reopen()
        return
      } catch (error) {
        if (this._options.signal.aborted) throw error
        if (error instanceof MimosarockError && error.code === ResultCode.STREAM_INCOMPLETE) throw error
        reason = error
      }
    }
    throw incomplete(this._nextId, reason)
  }

  private async _reopen (): Promise<PlacedCall> {
    const call = {
      ...this._placed.call,
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(this._placed.call.requestId)}?from=${this._nextId}`,
      headers: {},
      body: undefined,
      resumeFrom: this._nextId,
      waitMs: 0,
      remainingMs: this._options.remainingMs()
    }
    try {
      const answer = await this._options.dispatch.dispatch(call, this._options.signal)
      if (answer.status === OK) return { call, answer }
      for await (const chunk of answer.body) if (chunk.length === 0) break
    } catch (error) {
      // Nothing was passed on yet, so a call that another endpoint runs from its start is as good.
      if (this._nextId > 0 || this._options.signal.aborted) throw error
    }
    if (this._nextId === 0) return await this._options.restart()
    throw incomplete(this._nextId, new Error('the engine no longer has the stream'))
  }
}

function isSilence (error: unknown): boolean {
  return error instanceof MimosarockError && error.code === ResultCode.ENDPOINT_SILENT
}

function incomplete (nextId: number, cause: unknown): MimosarockError {
  return new MimosarockError(ResultCode.STREAM_INCOMPLETE, `the answer broke off after ${nextId} events: ${String(cause)}`, { run: RunState.RAN, cause })
}
