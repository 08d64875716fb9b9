import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ContinuousBatch } from './continuous-batch.js'
import type { EngineStream } from './engine-stream.js'

/** Streams by request id. A stream without readers is canceled and removed after the resume window. */
export class StreamRegistry {
  private readonly _batch: ContinuousBatch
  private readonly _clock: Clock
  private readonly _resumeWindowMs: number
  private readonly _streams = new Map<string, EngineStream>()
  private readonly _expiries = new Map<EngineStream, AbortController>()

  /**
   * @param batch batch that runs the streams
   * @param clock measures the resume window
   * @param resumeWindowMs lifetime of a stream after its last reader has disconnected, in milliseconds
   */
  constructor (batch: ContinuousBatch, clock: Clock, resumeWindowMs: number) {
    this._batch = batch
    this._clock = clock
    this._resumeWindowMs = resumeWindowMs
  }

  /**
   * Starts a stream. An existing stream with the same request id is canceled.
   * @param stream new stream
   */
  start (stream: EngineStream): void {
    this.cancel(stream.requestId)
    this._streams.set(stream.requestId, stream)
    this._batch.add(stream)
  }

  /**
   * Returns the stream of a request, undefined if there is none.
   * @param requestId id of the request
   */
  find (requestId: string): EngineStream | undefined {
    return this._streams.get(requestId)
  }

  /**
   * Cancels and removes a stream.
   * @param requestId id of the request; an unknown id is ignored
   */
  cancel (requestId: string): void {
    const stream = this._streams.get(requestId)
    if (stream === undefined) return
    this._streams.delete(requestId)
    this.cancelExpiry(stream)
    this._batch.cancel(stream)
  }

  /**
   * Cancels the expiry of a stream.
   * @param stream stream that has a reader again
   */
  cancelExpiry (stream: EngineStream): void {
    this._expiries.get(stream)?.abort()
    this._expiries.delete(stream)
  }

  /**
   * Schedules the expiry of a stream at the end of the resume window, unless it still has readers.
   * @param stream stream that has lost a reader
   */
  scheduleExpiry (stream: EngineStream): void {
    if (stream.readerCount > 0 || this._streams.get(stream.requestId) !== stream) return
    this.cancelExpiry(stream)
    const expiry = new AbortController()
    this._expiries.set(stream, expiry)
    this._clock.sleep(this._resumeWindowMs, expiry.signal).then(() => {
      if (!expiry.signal.aborted && this._streams.get(stream.requestId) === stream) this.cancel(stream.requestId)
    })
  }

  /** Cancels and removes all streams. */
  clear (): void {
    for (const expiry of this._expiries.values()) expiry.abort()
    this._expiries.clear()
    this._streams.clear()
    this._batch.clear()
  }
}
