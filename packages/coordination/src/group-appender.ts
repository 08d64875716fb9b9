import { create, toBinary } from '@bufbuild/protobuf'
import { LogEntrySchema, LogRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { GroupAppenderOptions } from './group-appender-options.js'
import type { PendingEntry } from './pending-entry.js'
import type { RecordAppender } from './record-appender.js'
import type { RecordPosition } from './record-position.js'

/** Pause after a failed append; grows to the maximum while appends fail. */
const MINIMUM_RETRY_MS = 20
const MAXIMUM_RETRY_MS = 1_000

/**
 * Writes one stream for one process. Entries that arrive while an append runs go together into the next
 * record, so the number of appends does not grow with the number of entries.
 *
 * A record whose answer is lost is sent again with the same sequence. Once all its callers have given up,
 * the appender goes on with the next sequence; the fold drops the old record if it should arrive later.
 */
export class GroupAppender implements RecordAppender {
  private readonly _options: GroupAppenderOptions
  private _waiting: PendingEntry[] = []
  /** Groups whose append was answered and that wait to be read back, by sequence. */
  private readonly _acknowledged = new Map<number, readonly PendingEntry[]>()
  private _inFlight: readonly PendingEntry[] = []
  private _sequence = 0
  /** End the waits of callers. */
  private readonly _timers = new Set<AbortController>()
  private _ended = false
  private _arrival = new AbortController()
  private _readBack = new AbortController()

  /**
   * @param options what the appender works with
   */
  constructor (options: GroupAppenderOptions) {
    this._options = options
    options.replica.onApplied((position) => this._noticeReadBack(position))
  }

  /** Identity under which the records are written. */
  get writerId (): string {
    return this._options.writerId
  }

  /** Entries that wait for an append or for its read-back. */
  get pendingCount (): number {
    return this._waiting.length + this._inFlight.filter((pending) => !pending.settled).length
  }

  /**
   * Appends an entry with others that wait and resolves once it has been read back.
   * @param entry the entry
   * @param timeoutMs how long to wait, in milliseconds
   * @returns offset of the entry's record
   * @throws {MimosarockError} LOG_UNAVAILABLE, run state `not-run` if no append was sent, else `unknown`
   */
  async append (entry: LogEntry, timeoutMs: number): Promise<number> {
    const timer = new AbortController()
    if (this._ended) timer.abort()
    this._timers.add(timer)
    const offset = await new Promise<number | undefined>((resolve) => {
      const pending: PendingEntry = {
        entry,
        bytes: toBinary(LogEntrySchema, entry).length,
        sent: false,
        settled: false,
        resolve: (found) => {
          pending.settled = true
          resolve(found)
        }
      }
      this._waiting.push(pending)
      this._arrival.abort()
      this._options.clock.sleep(timeoutMs, timer.signal).then(() => {
        if (pending.settled) return
        pending.settled = true
        this._waiting = this._waiting.filter((other) => other !== pending)
        this._readBack.abort()
        resolve(pending.sent ? undefined : -1)
      })
    })
    timer.abort()
    this._timers.delete(timer)
    if (offset !== undefined && offset >= 0) return offset
    const run = offset === undefined ? RunState.UNKNOWN : RunState.NOT_RUN
    throw new MimosarockError(ResultCode.LOG_UNAVAILABLE, `stream ${this._options.replica.stream} did not confirm the record in time`, {
      run,
      retryAfterMs: MAXIMUM_RETRY_MS
    })
  }

  /**
   * Appends until the signal aborts; callers that still wait are then answered at once.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._waiting.length === 0) {
        await this._waitForArrival(signal)
        continue
      }
      const startedAt = this._options.clock.now()
      await this._appendGroup(signal)
      const rest = this._options.groupIntervalMs - (this._options.clock.now() - startedAt)
      if (rest > 0) await this._options.clock.sleep(rest, signal)
    }
    this._ended = true
    for (const timer of this._timers) timer.abort()
  }

  private async _waitForArrival (signal: AbortSignal): Promise<void> {
    this._arrival = new AbortController()
    const arrival = AbortSignal.any([signal, this._arrival.signal])
    if (this._waiting.length > 0 || arrival.aborted) return
    await new Promise((resolve) => arrival.addEventListener('abort', resolve, { once: true }))
  }

  private async _appendGroup (signal: AbortSignal): Promise<void> {
    const group = this._takeGroup()
    this._inFlight = group
    this._sequence += 1
    const data = toBinary(LogRecordSchema, create(LogRecordSchema, {
      writerId: this._options.writerId,
      sequence: BigInt(this._sequence),
      writtenAtMs: BigInt(Math.round(this._options.clock.wallNow())),
      entries: group.map((pending) => pending.entry)
    }))
    let retryMs = MINIMUM_RETRY_MS
    while (!signal.aborted && group.some((pending) => !pending.settled)) {
      // Renewed for each try: one that has fired would make every later pause end at once.
      this._readBack = new AbortController()
      const acknowledged = await this._sendOnce(data, group, signal)
      if (acknowledged) {
        // The next record need not wait for this one's read-back: the sequence keeps their order.
        return
      }
      if (group.every((pending) => pending.settled)) return
      await this._options.clock.sleep(retryMs, AbortSignal.any([signal, this._readBack.signal]))
      retryMs = Math.min(retryMs * 2, MAXIMUM_RETRY_MS)
    }
  }

  private _takeGroup (): PendingEntry[] {
    const group: PendingEntry[] = []
    let bytes = 0
    for (const pending of this._waiting) {
      bytes += pending.bytes
      if (group.length > 0 && bytes > this._options.maximumRecordBytes) break
      group.push(pending)
    }
    this._waiting = this._waiting.slice(group.length)
    return group
  }

  private async _sendOnce (data: Uint8Array, group: readonly PendingEntry[], signal: AbortSignal): Promise<boolean> {
    for (const pending of group) pending.sent = true
    const timeout = AbortSignal.timeout(this._options.appendTimeoutMs)
    try {
      await this._options.logService.append(this._options.replica.stream, data, AbortSignal.any([signal, timeout]))
      const readBack = group.every((pending) => pending.settled)
      if (readBack) return true
      this._acknowledged.set(this._sequence, group)
      this._options.replica.readNow()
      return true
    } catch (error) {
      if (!signal.aborted) {
        this._options.eventLog.warn('log-append-failed', { stream: this._options.replica.stream, sequence: this._sequence, error: String(error) })
      }
      return false
    }
  }

  private _noticeReadBack (position: RecordPosition): void {
    if (position.writerId !== this._options.writerId) return
    const group = this._acknowledged.get(position.sequence) ??
      (position.sequence === this._sequence ? this._inFlight : [])
    this._forgetUpTo(position.sequence)
    for (const pending of group) {
      if (!pending.settled) pending.resolve(position.offset)
    }
    if (position.sequence === this._sequence) this._readBack.abort()
  }

  /** Groups before the one read back are folded or superseded; those still kept lost their read-back to a peer's state. */
  private _forgetUpTo (sequence: number): void {
    for (const acknowledged of this._acknowledged.keys()) {
      if (acknowledged > sequence) return
      this._acknowledged.delete(acknowledged)
    }
  }
}
