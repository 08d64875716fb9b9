import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ModelEngineFaults } from '../model-engine-faults.js'
import type { BatchOptions } from './batch-options.js'
import type { EngineStream } from './engine-stream.js'
import type { PrefixCache } from './prefix-cache.js'

/**
 * Runs streams in one batch that they join and leave at any step. Each step gives a token to every stream whose
 * prompt has been computed; a step takes longer as the batch grows.
 */
export class ContinuousBatch {
  private readonly _options: BatchOptions
  private readonly _clock: Clock
  private readonly _cache: PrefixCache
  private readonly _faults: ModelEngineFaults
  private readonly _changed: () => void
  private readonly _running = new Set<EngineStream>()
  private _waiting: EngineStream[] = []
  private _active = false

  /**
   * @param options capacity and speed
   * @param clock source of time
   * @param cache where prompts are found and kept
   * @param faults whether the batch is stalled
   * @param changed called after each change of the load
   */
  constructor (options: BatchOptions, clock: Clock, cache: PrefixCache, faults: ModelEngineFaults, changed: () => void) {
    this._options = options
    this._clock = clock
    this._cache = cache
    this._faults = faults
    this._changed = changed
  }

  /** Streams in the batch. */
  get runningCount (): number {
    return this._running.size
  }

  /** Streams that wait for a place. */
  get waitingCount (): number {
    return this._waiting.length
  }

  /**
   * Adds a stream; it joins the batch when a place is free, by priority and then in order of arrival.
   * @param stream the stream
   */
  add (stream: EngineStream): void {
    const behind = this._waiting.findIndex((other) => other.priority < stream.priority)
    if (behind < 0) this._waiting.push(stream)
    else this._waiting.splice(behind, 0, stream)
    this._admit()
    if (!this._active) this._run()
  }

  /**
   * Cancels a stream.
   * @param stream the stream
   */
  cancel (stream: EngineStream): void {
    this._waiting = this._waiting.filter((other) => other !== stream)
    this._running.delete(stream)
    stream.cancel()
    this._admit()
  }

  /** Cancels every stream. */
  clear (): void {
    const streams = [...this._running, ...this._waiting]
    this._running.clear()
    this._waiting = []
    for (const stream of streams) stream.cancel()
    this._changed()
  }

  private _admit (): void {
    while (this._running.size < this._options.capacity) {
      const stream = this._waiting.shift()
      if (stream === undefined) break
      stream.cachedTokens = this._cache.use(stream.cacheKey, stream.promptTokens)
      const computed = stream.promptTokens - stream.cachedTokens
      stream.readyAt = this._clock.now() + computed * this._options.prefillMsPerToken
      this._running.add(stream)
    }
    this._changed()
  }

  private async _run (): Promise<void> {
    this._active = true
    let due = this._clock.now()
    while (this._running.size > 0) {
      // A step that is late is not made up for, as on an engine.
      due = Math.max(due + this._stepMs(), this._clock.now())
      await this._clock.sleep(due - this._clock.now())
      if (!this._faults.stalled) this._step()
    }
    this._active = false
  }

  private _stepMs (): number {
    return this._options.tokenMs + this._options.tokenMsPerRequest * Math.max(this._running.size - 1, 0)
  }

  private _step (): void {
    const now = this._clock.now()
    let left = false
    for (const stream of this._running) {
      if (stream.readyAt > now) continue
      stream.produce()
      if (!stream.finished) continue
      this._running.delete(stream)
      this._cache.store(stream.cacheKey, stream.promptTokens + stream.maximumTokens)
      left = true
    }
    if (left) this._admit()
  }
}
