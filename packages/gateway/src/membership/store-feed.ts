import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import { pause } from './pause.js'
import type { StoreFeedOptions } from './store-feed-options.js'

/** First pause after a refused call. */
const FIRST_RETRY_MS = 150
/** Longest pause between calls while the store is away; it bounds how late its return is seen. */
const LONGEST_RETRY_MS = 600
/** How often a router that does not read looks whether it has to. */
const CHECK_INTERVAL_MS = 50
/** Added to the wait that was asked for, before a call is given up. */
const CALL_TIMEOUT_MS = 1_200

/** Follows one topic of the store while this router is wanted as a reader. */
export class StoreFeed<Value> {
  private readonly _options: StoreFeedOptions<Value>
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _offset: number | undefined
  private _failures = 0
  private _wasWanted = false

  /**
   * @param options how the topic is followed
   * @param clock dates what is read
   * @param log takes a line when the store is lost and regained
   */
  constructor (options: StoreFeedOptions<Value>, clock: ElapsedClock, log: EventLog) {
    this._options = options
    this._clock = clock
    this._log = log
  }

  /** Whether the last call failed. */
  get isFailing (): boolean {
    return this._failures > 0
  }

  /** Whether this router reads the topic, and the last call succeeded. */
  get isSound (): boolean {
    return this._wasWanted && this._offset !== undefined && this._failures === 0
  }

  /**
   * Follows the topic.
   * @param signal ends it
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isWanted = this._options.isWanted()
      if (isWanted !== this._wasWanted) {
        this._log.info(isWanted ? 'store-reading-started' : 'store-reading-ended', { topic: this._options.topic })
        this._wasWanted = isWanted
      }
      if (isWanted) await this._read(signal)
      else this._offset = undefined
      await pause(this._pauseMs(isWanted), signal)
    }
  }

  private async _read (signal: AbortSignal): Promise<void> {
    const sentAt = this._clock.now()
    const limit = AbortSignal.any([signal, AbortSignal.timeout(this._options.waitMs + CALL_TIMEOUT_MS)])
    try {
      const page = await this._options.reader.read(this._offset, this._options.waitMs, limit)
      this._regained()
      this._offset = page.nextOffset
      this._options.take(page, sentAt)
    } catch (error) {
      if (signal.aborted) return
      this._failures += 1
      if (this._failures === 1) {
        this._log.warn('store-lost', { topic: this._options.topic, problem: (error as Error).message })
      }
    }
  }

  private _regained (): void {
    if (this._failures === 0) return
    this._log.info('store-regained', { topic: this._options.topic, failures: this._failures })
    this._failures = 0
  }

  private _pauseMs (isWanted: boolean): number {
    if (!isWanted) return CHECK_INTERVAL_MS
    if (this._failures === 0) return this._options.gapMs
    return Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** (this._failures - 1))
  }
}
