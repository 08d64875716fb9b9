import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { StorePosition } from '../model/store-position.js'
import type { TopicPage } from '../model/topic-page.js'
import { pause } from './pause.js'
import { ProgressTimeout } from './progress-timeout.js'
import type { StoreFeedOptions } from './store-feed-options.js'

/** Delay before the first retry after a failed read. */
const INITIAL_RETRY_MS = 150
/** Maximum delay between retries while the store is unavailable; bounds the delay until its recovery is noticed. */
const MAXIMUM_RETRY_MS = 600
/** Interval at which a router that does not read checks whether it has to. */
const CHECK_INTERVAL_MS = 50
/** Margin on top of the requested wait time without any part of the answer after which a read is aborted; of a first read, and after failures. */
const PROGRESS_MARGIN_MS = 1_200
/** The same margin while the last read succeeded, so that a connection that has gone silent is replaced soon. */
const FIRST_PROGRESS_MARGIN_MS = 500
/** Time for which a failed read counts as a sign of an unavailable store. */
const FAILURE_RETENTION_MS = 2_000
/** Time that the first part of an answer is assumed to have been on its way. */
const ANSWER_LATENCY_MS = 100
/** Time from the first to the last part of an answer from which it counts as long. */
const LONG_ANSWER_MS = 200
/** Maximum duration of a read; a large record takes seconds on a slow link. */
const MAXIMUM_READ_MS = 15_000

/** Reads one topic of the store continuously while this router has to read it. */
export class StoreFeed<Value> {
  private readonly _options: StoreFeedOptions<Value>
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _position: StorePosition | undefined
  private _failures = 0
  private _failedAt = -Infinity
  private _isReading = false
  /** Whether the last answer took long to arrive, so that there may be a newer change. */
  private _wasAnswerLong = false

  /**
   * @param options topic, timing and callbacks
   * @param clock clock for the time of each read
   * @param log logs the start and end of reading, and the loss and recovery of the store
   */
  constructor (options: StoreFeedOptions<Value>, clock: ElapsedClock, log: EventLog) {
    this._options = options
    this._clock = clock
    this._log = log
  }

  /** Whether the last read failed. */
  get isFailing (): boolean {
    return this._failures > 0
  }

  /** Whether the last read failed a moment ago. */
  get hasJustFailed (): boolean {
    return this.isFailing && this._clock.now() - this._failedAt < FAILURE_RETENTION_MS
  }

  /** Whether this router is reading the topic and the last read succeeded. */
  get isUpToDate (): boolean {
    return this._isReading && this._position !== undefined && this._failures === 0
  }

  /**
   * Reads the topic until aborted.
   * @param signal aborts reading
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const shouldRead = this._options.shouldRead()
      if (shouldRead !== this._isReading) {
        this._log.info(shouldRead ? 'store-reading-started' : 'store-reading-ended', { topic: this._options.topic })
        this._isReading = shouldRead
      }
      if (shouldRead) await this._read(signal)
      else this._position = undefined
      await pause(this._pauseMs(shouldRead), signal)
    }
  }

  private async _read (signal: AbortSignal): Promise<void> {
    const sentAt = this._clock.now()
    // The age of what was read counts from the begin of a long answer. A read without a wait shows at once that it is current.
    const waitMs = this._wasAnswerLong ? 0 : this._options.waitMs()
    this._wasAnswerLong = false
    const timeout = new ProgressTimeout({ progressMs: waitMs + this._progressMarginMs, totalMs: MAXIMUM_READ_MS })
    let begunAt: number | undefined
    const callSignal = AbortSignal.any([signal, timeout.signal])
    try {
      const page = await this._options.reader.read(this._position, waitMs, callSignal, (hasChange) => {
        timeout.recordProgress()
        if (begunAt === undefined) this._options.onAnswerBegun?.(this._begunAsOf(sentAt, waitMs))
        begunAt ??= this._clock.now()
        if (hasChange) this._options.onChangeBegun?.()
      })
      this._wasAnswerLong = begunAt !== undefined && this._clock.now() - begunAt >= LONG_ANSWER_MS
      this._recordSuccess()
      this._position = page.nextPosition
      this._options.onPage(page, this._completeAsOf(page, sentAt, waitMs))
    } catch (error) {
      if (signal.aborted) return
      this._failures += 1
      this._failedAt = this._clock.now()
      this._options.onFailure?.()
      if (this._failures === 1) {
        this._log.warn('store-lost', { topic: this._options.topic, problem: (error as Error).message })
      }
    } finally {
      timeout.stop()
    }
  }

  /**
   * Time as of which an answer that has begun to arrive is complete. The store holds a read open for no longer than the wait, however late this
   * process reads the answer.
   */
  private _begunAsOf (sentAt: number, waitMs: number): number {
    return Math.max(sentAt, Math.min(sentAt + waitMs, this._clock.now() - ANSWER_LATENCY_MS))
  }

  /**
   * Time as of which a page is complete. The store answers a read as soon as there is a change, so that none was made in the wait that an
   * empty page has taken.
   */
  private _completeAsOf (page: TopicPage<Value>, sentAt: number, waitMs: number): number {
    const isEmpty = !page.isSnapshot && page.changes.length === 0
    return isEmpty && this._clock.now() - sentAt >= waitMs ? sentAt + waitMs : sentAt
  }

  private get _progressMarginMs (): number {
    return this._position === undefined || this._failures > 0 ? PROGRESS_MARGIN_MS : FIRST_PROGRESS_MARGIN_MS
  }

  private _recordSuccess (): void {
    if (this._failures === 0) return
    this._log.info('store-regained', { topic: this._options.topic, failures: this._failures })
    this._failures = 0
  }

  private _pauseMs (shouldRead: boolean): number {
    if (!shouldRead) return CHECK_INTERVAL_MS
    if (this._failures === 0) return this._options.pauseMs
    return Math.min(MAXIMUM_RETRY_MS, INITIAL_RETRY_MS * 2 ** (this._failures - 1))
  }
}
