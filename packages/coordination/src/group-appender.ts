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

/** Initial delay after a failed append; doubles up to the maximum while appends fail. */
const MINIMUM_RETRY_DELAY_MS = 20
const MAXIMUM_RETRY_DELAY_MS = 1_000

/**
 * Appends to one stream on behalf of one process, with group commit: entries that arrive while an append is in
 * flight share the next record, which keeps the number of appends independent of the number of entries.
 *
 * A record whose response was lost is retried with the same sequence number. Once all of its callers have timed
 * out, the appender continues with the next sequence number; replicas discard the old record if it arrives later.
 */
export class GroupAppender implements RecordAppender {
  private readonly _options: GroupAppenderOptions
  private _queued: PendingEntry[] = []
  /** Groups whose append was acknowledged and that have not been read back, by sequence number. */
  private readonly _acknowledged = new Map<number, readonly PendingEntry[]>()
  private _inFlight: readonly PendingEntry[] = []
  private _sequence = 0
  /** Timers of waiting callers; aborting one ends the caller's wait. */
  private readonly _callerTimers = new Set<AbortController>()
  private _stopped = false
  /** Aborted when an entry is queued. */
  private _arrival = new AbortController()
  /** Aborted to end a retry delay, when the record in flight was read back or a caller has timed out. */
  private _retryWake = new AbortController()

  /**
   * @param options log service, replica, timing and size limits
   */
  constructor (options: GroupAppenderOptions) {
    this._options = options
    options.replica.onApplied((position) => this._confirmReadBack(position))
  }

  /** Writer id of the records. */
  get writerId (): string {
    return this._options.writerId
  }

  /** Number of entries that are queued or in the last record sent and not yet confirmed. */
  get pendingCount (): number {
    return this._queued.length + this._inFlight.filter((pending) => !pending.settled).length
  }

  /**
   * Queues an entry for the next record and resolves once the replica has applied that record.
   * @param entry entry to append
   * @param timeoutMs upper bound on the wait, in milliseconds
   * @returns offset of the entry's record
   * @throws {MimosarockError} LOG_UNAVAILABLE; run state `not-run` if no append of the entry was sent, otherwise `unknown`
   */
  async append (entry: LogEntry, timeoutMs: number): Promise<number> {
    const timer = new AbortController()
    if (this._stopped) timer.abort()
    this._callerTimers.add(timer)
    const offset = await new Promise<number | undefined>((resolve) => {
      const pending: PendingEntry = {
        entry,
        bytes: toBinary(LogEntrySchema, entry).length,
        sent: false,
        settled: false,
        resolve: (recordOffset) => {
          pending.settled = true
          resolve(recordOffset)
        }
      }
      this._queued.push(pending)
      this._arrival.abort()
      this._options.clock.sleep(timeoutMs, timer.signal).then(() => {
        if (pending.settled) return
        pending.settled = true
        this._queued = this._queued.filter((queued) => queued !== pending)
        this._retryWake.abort()
        resolve(pending.sent ? undefined : -1)
      })
    })
    timer.abort()
    this._callerTimers.delete(timer)
    if (offset !== undefined && offset >= 0) return offset
    const run = offset === undefined ? RunState.UNKNOWN : RunState.NOT_RUN
    throw new MimosarockError(ResultCode.LOG_UNAVAILABLE, `stream ${this._options.replica.stream} did not confirm the record in time`, {
      run,
      retryAfterMs: MAXIMUM_RETRY_DELAY_MS
    })
  }

  /**
   * Appends queued entries until the signal aborts. Calls of `append` that are pending then, or made later, fail at once.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._queued.length === 0) {
        await this._waitForArrival(signal)
        continue
      }
      const startedAt = this._options.clock.now()
      await this._appendGroup(signal)
      const remainingMs = this._options.groupIntervalMs - (this._options.clock.now() - startedAt)
      if (remainingMs > 0) await this._options.clock.sleep(remainingMs, signal)
    }
    this._stopped = true
    for (const timer of this._callerTimers) timer.abort()
  }

  private async _waitForArrival (signal: AbortSignal): Promise<void> {
    this._arrival = new AbortController()
    const arrival = AbortSignal.any([signal, this._arrival.signal])
    if (this._queued.length > 0 || arrival.aborted) return
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
    let retryDelayMs = MINIMUM_RETRY_DELAY_MS
    while (!signal.aborted && group.some((pending) => !pending.settled)) {
      // A new controller for each attempt: an aborted one would end every later retry delay at once.
      this._retryWake = new AbortController()
      const acknowledged = await this._attemptAppend(data, group, signal)
      if (acknowledged) {
        // The next record need not wait until this one is read back: sequence numbers preserve their order.
        return
      }
      if (group.every((pending) => pending.settled)) return
      await this._options.clock.sleep(retryDelayMs, AbortSignal.any([signal, this._retryWake.signal]))
      retryDelayMs = Math.min(retryDelayMs * 2, MAXIMUM_RETRY_DELAY_MS)
    }
  }

  private _takeGroup (): PendingEntry[] {
    const group: PendingEntry[] = []
    let bytes = 0
    for (const pending of this._queued) {
      bytes += pending.bytes
      if (group.length > 0 && bytes > this._options.maximumRecordBytes) break
      group.push(pending)
    }
    this._queued = this._queued.slice(group.length)
    return group
  }

  private async _attemptAppend (data: Uint8Array, group: readonly PendingEntry[], signal: AbortSignal): Promise<boolean> {
    for (const pending of group) pending.sent = true
    const timeout = AbortSignal.timeout(this._options.appendTimeoutMs)
    try {
      await this._options.logService.append(this._options.replica.stream, data, AbortSignal.any([signal, timeout]))
      const isReadBack = group.every((pending) => pending.settled)
      if (isReadBack) return true
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

  private _confirmReadBack (position: RecordPosition): void {
    if (position.writerId !== this._options.writerId) return
    const group = this._acknowledged.get(position.sequence) ??
      (position.sequence === this._sequence ? this._inFlight : [])
    this._deleteUpTo(position.sequence)
    for (const pending of group) {
      if (!pending.settled) pending.resolve(position.offset)
    }
    if (position.sequence === this._sequence) this._retryWake.abort()
  }

  /**
   * Deletes acknowledged groups up to a sequence number. Earlier groups have been applied or superseded; one that is still
   * here was not reported by the replica because the replica adopted the state of a peer instead of reading the record.
   */
  private _deleteUpTo (sequence: number): void {
    for (const acknowledged of this._acknowledged.keys()) {
      if (acknowledged > sequence) return
      this._acknowledged.delete(acknowledged)
    }
  }
}
