import type { Clock } from '@mimosarock/coordination/clock.js'
import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { ReadOptions } from '@mimosarock/coordination/read-options.js'
import type { ReadResult } from '@mimosarock/coordination/read-result.js'
import type { StoredRecord } from '@mimosarock/coordination/stored-record.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { LogServiceFaults } from './log-service-faults.js'
import { logServiceHandler } from './log-service-handler.js'
import type { LogServiceOptions } from './log-service-options.js'
import { LogStream } from './log-stream.js'
import { SeededRandom } from './seeded-random.js'
import { StandInServer } from './stand-in-server.js'

const DEFAULT_READ_LIMIT = 500

/**
 * In-memory implementation of the platform's log service, for use as a `LogService` in the same process and, once
 * started, over HTTP.
 *
 * @example
 * const log = new LogServiceStandIn({ retainedRecords: 1_000 })
 * log.faults.lostAnswers = 1
 * await log.start()
 */
export class LogServiceStandIn implements LogService {
  /** Faults to inject; none are active at first. */
  readonly faults = new LogServiceFaults()
  /** Number of calls so far, failed ones included. */
  readonly counts = { appends: 0, reads: 0 }
  /** HTTP server, for its address and connection faults. */
  readonly server: StandInServer
  private readonly _streams = new Map<string, LogStream>()
  private readonly _clock: Clock
  private readonly _random: SeededRandom
  private readonly _retainedRecords: number
  private _lateAppends = new AbortController()

  /**
   * @param options clock, retention and seed
   */
  constructor (options: LogServiceOptions = {}) {
    this._clock = options.clock ?? new SystemClock()
    this._retainedRecords = options.retainedRecords ?? Infinity
    this._random = new SeededRandom(options.seed ?? 1)
    this.server = new StandInServer(logServiceHandler(this, (request) => this.server.isSilenced(request)))
  }

  /** Base URL of the HTTP server; valid once started. */
  get url (): string {
    return this.server.url
  }

  /** Starts the HTTP server. */
  async start (): Promise<void> {
    await this.server.start()
  }

  /** Stops the HTTP server and closes its connections. */
  async stop (): Promise<void> {
    await this.server.stop()
  }

  /**
   * Returns the retained records of a stream.
   * @param stream name of the stream
   */
  records (stream: string): readonly StoredRecord[] {
    return this._stream(stream).records
  }

  /**
   * Expires old records of a stream.
   * @param stream name of the stream
   * @param beforeOffset first offset that is retained
   */
  truncate (stream: string, beforeOffset: number): void {
    this._stream(stream).truncate(beforeOffset)
  }

  /** Starts an outage of appends and reads; pending long polls fail. */
  startOutage (): void {
    this.faults.appendOutage = true
    this.faults.readOutage = true
    for (const stream of this._streams.values()) stream.wakeAll()
  }

  /** Ends an outage of appends and reads. */
  endOutage (): void {
    this.faults.appendOutage = false
    this.faults.readOutage = false
  }

  /** Applies all pending late appends immediately. */
  deliverLateAppends (): void {
    this._lateAppends.abort()
    this._lateAppends = new AbortController()
  }

  /**
   * Appends one record.
   * @param stream name of the stream
   * @param data the encoded record
   * @param signal ends the call; a delayed record is still appended
   * @throws {MimosarockError} LOG_UNAVAILABLE, run state `unknown`
   */
  async append (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number> {
    this.counts.appends += 1
    if (this.faults.appendOutage) throw unavailable('appends are disabled')
    if (this.faults.lateAppends > 0) {
      this.faults.lateAppends -= 1
      this._clock.sleep(this.faults.lateAppendMs, this._lateAppends.signal).then(() => this._store(stream, data))
      throw unavailable('the append got no response')
    }
    const isResponseLost = this._consumeLostResponse()
    if (this.faults.appendDelayMs > 0) await this._delayAppend(stream, data, signal)
    const offset = this._store(stream, data)
    if (isResponseLost) throw unavailable('the response was lost')
    return offset
  }

  /**
   * Reads records.
   * @param stream name of the stream
   * @param fromOffset offset of the first record to read
   * @param options maximum number of records, maximum wait and abort signal
   * @throws {MimosarockError} LOG_UNAVAILABLE
   */
  async read (stream: string, fromOffset: number, options: ReadOptions = {}): Promise<ReadResult> {
    this.counts.reads += 1
    this._checkReads()
    if (this.faults.readDelayMs > 0) await this._clock.sleep(this.faults.readDelayMs, options.signal)
    const log = this._stream(stream)
    if (log.nextOffset <= fromOffset && (options.waitMs ?? 0) > 0) await this._waitForRecord(log, options)
    if (options.signal?.aborted) throw unavailable('the read was aborted')
    this._checkReads()
    return log.read(fromOffset, options.limit ?? DEFAULT_READ_LIMIT)
  }

  private _stream (name: string): LogStream {
    const existing = this._streams.get(name)
    if (existing !== undefined) return existing
    const stream = new LogStream()
    this._streams.set(name, stream)
    return stream
  }

  private _store (name: string, data: Uint8Array): number {
    const stream = this._stream(name)
    const offset = stream.append(data, this._retainedRecords)
    if (this.faults.duplicatedAppends > 0) {
      this.faults.duplicatedAppends -= 1
      stream.append(data, this._retainedRecords)
    }
    return offset
  }

  private _consumeLostResponse (): boolean {
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1
      return true
    }
    return this.faults.lostAnswerProbability > 0 && this._random.next() < this.faults.lostAnswerProbability
  }

  /** Delays an append. If the caller aborts the wait, the record is still stored at the end of the delay. */
  private async _delayAppend (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<void> {
    const storeAt = this._clock.now() + this.faults.appendDelayMs
    await this._clock.sleep(this.faults.appendDelayMs, signal)
    if (!signal?.aborted) return
    this._clock.sleep(storeAt - this._clock.now()).then(() => this._store(stream, data))
    throw unavailable('the append was aborted')
  }

  private _checkReads (): void {
    if (this.faults.readOutage) throw unavailable('reads are disabled')
  }

  private async _waitForRecord (stream: LogStream, options: ReadOptions): Promise<void> {
    const wakeUp = new AbortController()
    const remove = stream.onAppend(() => wakeUp.abort())
    const signals = options.signal === undefined ? [wakeUp.signal] : [wakeUp.signal, options.signal]
    await this._clock.sleep(options.waitMs ?? 0, AbortSignal.any(signals))
    remove()
  }
}

function unavailable (detail: string): MimosarockError {
  return new MimosarockError(ResultCode.LOG_UNAVAILABLE, `log service: ${detail}`, { run: RunState.UNKNOWN })
}
