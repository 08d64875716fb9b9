import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ModelEngineFaults } from '../model-engine-faults.js'
import type { BatchOptions } from './batch-options.js'
import type { EngineStream } from './engine-stream.js'
import type { PrefixCache } from './prefix-cache.js'

/**
 * Simulates continuous batching: streams join and leave the batch at any step. Each step produces one token for every
 * stream whose prefill is complete; the duration of a step grows with the size of the batch.
 */
export class ContinuousBatch {
  private readonly _options: BatchOptions
  private readonly _clock: Clock
  private readonly _cache: PrefixCache
  private readonly _faults: ModelEngineFaults
  private readonly _onLoadChange: () => void
  private readonly _running = new Set<EngineStream>()
  private _waiting: EngineStream[] = []
  private _isStepping = false

  /**
   * @param options capacity and speed
   * @param clock times prefill and steps
   * @param cache prefix cache that shortens the prefill and stores finished chats
   * @param faults `stalled` suspends token production
   * @param onLoadChange called when the number of running or waiting streams may have changed
   */
  constructor (options: BatchOptions, clock: Clock, cache: PrefixCache, faults: ModelEngineFaults, onLoadChange: () => void) {
    this._options = options
    this._clock = clock
    this._cache = cache
    this._faults = faults
    this._onLoadChange = onLoadChange
  }

  /** Number of streams in the batch. */
  get runningCount (): number {
    return this._running.size
  }

  /** Number of queued streams. */
  get waitingCount (): number {
    return this._waiting.length
  }

  /**
   * Queues a stream. It joins the batch as capacity permits, in order of priority and then of arrival.
   * @param stream stream to run
   */
  add (stream: EngineStream): void {
    const insertIndex = this._waiting.findIndex((other) => other.priority < stream.priority)
    if (insertIndex < 0) this._waiting.push(stream)
    else this._waiting.splice(insertIndex, 0, stream)
    this._admit()
    if (!this._isStepping) this._runSteps()
  }

  /**
   * Cancels a stream and frees its place.
   * @param stream running or queued stream
   */
  cancel (stream: EngineStream): void {
    this._waiting = this._waiting.filter((other) => other !== stream)
    this._running.delete(stream)
    stream.cancel()
    this._admit()
  }

  /** Cancels all running and queued streams. */
  clear (): void {
    const streams = [...this._running, ...this._waiting]
    this._running.clear()
    this._waiting = []
    for (const stream of streams) stream.cancel()
    this._onLoadChange()
  }

  private _admit (): void {
    while (this._running.size < this._options.capacity) {
      const stream = this._waiting.shift()
      if (stream === undefined) break
      stream.cachedTokens = this._cache.matchPrefix(stream.cacheKey, stream.promptTokens)
      const uncachedTokens = stream.promptTokens - stream.cachedTokens
      stream.readyAt = this._clock.now() + uncachedTokens * this._options.prefillMsPerToken
      this._running.add(stream)
    }
    this._onLoadChange()
  }

  private async _runSteps (): Promise<void> {
    this._isStepping = true
    let nextStepAt = this._clock.now()
    while (this._running.size > 0) {
      // A late step delays the following ones, as on a real engine; the batch does not catch up.
      nextStepAt = Math.max(nextStepAt + this._stepDurationMs(), this._clock.now())
      await this._clock.sleep(nextStepAt - this._clock.now())
      if (!this._faults.stalled) this._step()
    }
    this._isStepping = false
  }

  private _stepDurationMs (): number {
    return this._options.tokenMs + this._options.tokenMsPerRequest * Math.max(this._running.size - 1, 0)
  }

  private _step (): void {
    const now = this._clock.now()
    let hasFinished = false
    for (const stream of this._running) {
      if (stream.readyAt > now) continue
      stream.produce()
      if (!stream.finished) continue
      this._running.delete(stream)
      this._cache.store(stream.cacheKey, stream.promptTokens + stream.maximumTokens)
      hasFinished = true
    }
    if (hasFinished) this._admit()
  }
}
