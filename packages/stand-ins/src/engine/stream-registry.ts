import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ContinuousBatch } from './continuous-batch.js'
import type { EngineStream } from './engine-stream.js'

/** Streams by request id. A stream that nobody reads is cancelled, or forgotten, after the resume window. */
export class StreamRegistry {
  private readonly _batch: ContinuousBatch
  private readonly _clock: Clock
  private readonly _resumeWindowMs: number
  private readonly _streams = new Map<string, EngineStream>()
  private readonly _expiries = new Map<EngineStream, AbortController>()

  /**
   * @param batch runs the streams
   * @param clock source of the window
   * @param resumeWindowMs how long a stream outlives its last reader, in milliseconds
   */
  constructor (batch: ContinuousBatch, clock: Clock, resumeWindowMs: number) {
    this._batch = batch
    this._clock = clock
    this._resumeWindowMs = resumeWindowMs
  }

  /**
   * Starts a stream; one of the same id that is known is cancelled.
   * @param stream the stream
   */
  start (stream: EngineStream): void {
    this.cancel(stream.requestId)
    this._streams.set(stream.requestId, stream)
    this._batch.add(stream)
  }

  /**
   * Finds a stream.
   * @param requestId names it
   */
  find (requestId: string): EngineStream | undefined {
    return this._streams.get(requestId)
  }

  /**
   * Cancels and forgets a stream.
   * @param requestId names it; an unknown one is ignored
   */
  cancel (requestId: string): void {
    const stream = this._streams.get(requestId)
    if (stream === undefined) return
    this._streams.delete(requestId)
    this.keep(stream)
    this._batch.cancel(stream)
  }

  /**
   * Ends the window of a stream that has a reader again.
   * @param stream the stream
   */
  keep (stream: EngineStream): void {
    this._expiries.get(stream)?.abort()
    this._expiries.delete(stream)
  }

  /**
   * Starts the window of a stream that lost a reader, if it was the last.
   * @param stream the stream
   */
  release (stream: EngineStream): void {
    if (stream.readerCount > 0 || this._streams.get(stream.requestId) !== stream) return
    this.keep(stream)
    const expiry = new AbortController()
    this._expiries.set(stream, expiry)
    this._clock.sleep(this._resumeWindowMs, expiry.signal).then(() => {
      if (!expiry.signal.aborted && this._streams.get(stream.requestId) === stream) this.cancel(stream.requestId)
    })
  }

  /** Cancels and forgets every stream. */
  clear (): void {
    for (const expiry of this._expiries.values()) expiry.abort()
    this._expiries.clear()
    this._streams.clear()
    this._batch.clear()
  }
}
