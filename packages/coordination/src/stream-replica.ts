import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { LogEntry, LogRecord } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogRecordSchema, StreamStateSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AssembledCheckpoint } from './assembled-checkpoint.js'
import type { ChainedRecord } from './chained-record.js'
import { CheckpointAssembler } from './checkpoint-assembler.js'
import { CheckpointSearch } from './checkpoint-search.js'
import type { ReadResult } from './read-result.js'
import { RecentRecords } from './recent-records.js'
import type { RecordPosition } from './record-position.js'
import type { StoredRecord } from './stored-record.js'
import type { StreamReplicaOptions } from './stream-replica-options.js'
import { WriterPositions } from './writer-positions.js'

/** Records asked for in one read. */
const READ_LIMIT = 500
/** Pause after a failed read; grows to the maximum while reads fail. */
const MINIMUM_RETRY_MS = 50
const MAXIMUM_RETRY_MS = 2_000
/** Record bytes kept in memory for peers. */
const RECENT_RECORDS_BYTES = 4 * 1024 * 1024

/**
 * Follows one stream of the log service and keeps the state of its fold. One task, `run`, reads; records that
 * peers have read may be offered as well. A record is applied once, in offset order, whatever its source.
 *
 * A stream whose head has expired is entered through a checkpoint: records are held back until a whole
 * checkpoint has been read that covers everything before the oldest kept record.
 */
export class StreamReplica {
  private readonly _options: StreamReplicaOptions
  private readonly _writers = new WriterPositions()
  private readonly _recent = new RecentRecords(RECENT_RECORDS_BYTES)
  private readonly _appliedListeners = new Set<(position: RecordPosition) => void>()
  private readonly _provenListeners = new Set<() => void>()
  private readonly _replacedListeners = new Set<() => void>()
  private readonly _checkpointListeners = new Set<(position: RecordPosition, whole: boolean) => void>()
  /** Assembles the checkpoints that pass by, to tell when the stream last got a whole one. */
  private readonly _passing = new CheckpointAssembler()
  /** The search for a place to start from; undefined once the replica has started. */
  private _search: CheckpointSearch | undefined = new CheckpointSearch()
  private _appliedOffset = 0
  private _provenAt: number | undefined
  private _truncated = false
  private _oldestOffset = 1
  /** Grows with each peer state that is taken; a read that was under way then is dropped. */
  private _adoptions = 0
  private _wake = new AbortController()
  private _readWanted = false

  /**
   * @param options what the replica works with
   */
  constructor (options: StreamReplicaOptions) {
    this._options = options
  }

  /** Name of the stream. */
  get stream (): string {
    return this._options.stream
  }

  /** Offset of the last applied record; 0 before the first. */
  get appliedOffset (): number {
    return this._appliedOffset
  }

  /** Whether the state is that of the whole stream up to the applied offset. */
  get started (): boolean {
    return this._search === undefined
  }

  /** Whether records are missing that neither the log nor a checkpoint holds; only a peer's state helps. */
  get truncated (): boolean {
    return this._truncated
  }

  /** Offset of the oldest record that the log service kept at the last read. */
  get oldestOffset (): number {
    return this._oldestOffset
  }

  /**
   * Time since the replica last knew that it had applied everything, in milliseconds; Infinity if it never did.
   */
  get stalenessMs (): number {
    if (this._provenAt === undefined) return Infinity
    return this._options.clock.now() - this._provenAt
  }

  /**
   * Calls back after each applied record; a repeat of an append is not applied.
   * @param listener gets the record's position
   * @returns a function that ends the calls
   */
  onApplied (listener: (position: RecordPosition) => void): () => void {
    this._appliedListeners.add(listener)
    return () => this._appliedListeners.delete(listener)
  }

  /**
   * Calls back each time the replica proves that it is at the end of the stream.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onProven (listener: () => void): () => void {
    this._provenListeners.add(listener)
    return () => this._provenListeners.delete(listener)
  }

  /**
   * Calls back after the state was replaced by a checkpoint, from the log or from a peer.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onReplaced (listener: () => void): () => void {
    this._replacedListeners.add(listener)
    return () => this._replacedListeners.delete(listener)
  }

  /**
   * Calls back when the first part of a checkpoint, and when the whole one, was read in the stream.
   * @param listener gets the position of the part's record, and whether the checkpoint is whole by it
   * @returns a function that ends the calls
   */
  onCheckpoint (listener: (position: RecordPosition, whole: boolean) => void): () => void {
    this._checkpointListeners.add(listener)
    return () => this._checkpointListeners.delete(listener)
  }

  /** Makes a replica read at once, or after the read that it is in, instead of at the next slow poll. */
  readNow (): void {
    this._readWanted = true
    this._wake.abort()
  }

  /**
   * Reads the stream until the signal aborts. Failed reads are retried for ever, with a growing pause.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    let retryMs = MINIMUM_RETRY_MS
    while (!signal.aborted) {
      try {
        const atEnd = await this._readOnce(signal)
        retryMs = MINIMUM_RETRY_MS
        if (atEnd) await this._pauseBetweenReads(signal)
      } catch (error) {
        if (signal.aborted) return
        this._options.eventLog.warn('log-read-failed', { stream: this.stream, error: String(error), retry_ms: retryMs })
        await this._options.clock.sleep(retryMs, signal)
        retryMs = Math.min(retryMs * 2, MAXIMUM_RETRY_MS)
      }
    }
  }

  /**
   * Takes records that a peer has read. Those that do not follow the applied offset are ignored.
   * @param records in the order of their offsets
   * @returns how many were applied
   */
  offer (records: readonly ChainedRecord[]): number {
    if (!this.started) return 0
    let applied = 0
    for (const record of records) {
      if (record.previousOffset !== this._appliedOffset) continue
      this._apply(record)
      applied += 1
    }
    return applied
  }

  /**
   * Records that follow an offset, for a peer.
   * @param offset last offset that the peer has applied
   * @param maximumBytes bound on the record bytes
   * @returns undefined if they are not all in memory; the peer then needs the state
   */
  recordsAfter (offset: number, maximumBytes: number): readonly ChainedRecord[] | undefined {
    if (!this.started || offset > this._appliedOffset) return undefined
    if (offset === this._appliedOffset) return []
    return this._recent.after(offset, maximumBytes)
  }

  /**
   * The state at the applied offset, as checkpoints and peers get it.
   */
  checkpoint (): AssembledCheckpoint {
    const state = create(StreamStateSchema, {
      writers: this._writers.list(),
      foldState: this._options.fold.encodeState()
    })
    return { coversOffset: this._appliedOffset, state: toBinary(StreamStateSchema, state) }
  }

  /**
   * Takes a peer's state if it is newer than what this replica has. A replica that looks for a checkpoint takes
   * one of the same age as well, but never an older one.
   * @param checkpoint the peer's state
   * @returns whether it was taken
   */
  adopt (checkpoint: AssembledCheckpoint): boolean {
    const newer = checkpoint.coversOffset > this._appliedOffset
    if (!newer && (this.started || checkpoint.coversOffset < this._appliedOffset)) return false
    this._adoptions += 1
    this._load(checkpoint)
    this._options.eventLog.info('state-adopted', { stream: this.stream, offset: checkpoint.coversOffset })
    return true
  }

  /**
   * Takes a peer's word that nothing was missing at a time. Only for a peer whose applied offset, from then on,
   * this replica has reached.
   * @param provenAt time of the injected clock, in milliseconds
   */
  noteProof (provenAt: number): void {
    if (!this.started) return
    this._provenAt = Math.max(provenAt, this._provenAt ?? provenAt)
    for (const listener of this._provenListeners) listener()
  }

  private async _readOnce (signal: AbortSignal): Promise<boolean> {
    this._readWanted = false
    const from = this._nextReadOffset()
    const askedAt = this._options.clock.now()
    const adoptions = this._adoptions
    const waitMs = this._isReader() && this.started ? this._options.longPollMs : 0
    const timeout = AbortSignal.timeout(waitMs + this._options.readTimeoutMs)
    const result = await this._options.logService.read(this.stream, from, {
      limit: READ_LIMIT,
      waitMs,
      signal: AbortSignal.any([signal, timeout])
    })
    this._oldestOffset = result.oldestOffset
    // Its records may not follow the adopted state without a gap.
    if (adoptions !== this._adoptions) return false
    this._noticeTruncation(from, result)
    for (const record of result.records) this._take(record)
    const atEnd = this._nextReadOffset() >= result.nextOffset || result.records.length === 0
    if (atEnd) this._reachEnd(result, askedAt)
    // A reader's next long poll is its pause; a read that found records may have more behind it.
    return atEnd && (!this._isReader() || !this.started)
  }

  private _isReader (): boolean {
    return this._options.isReader?.() ?? true
  }

  private _nextReadOffset (): number {
    return (this._search?.lastOffset ?? this._appliedOffset) + 1
  }

  /** A read that starts past the wanted offset means that unread records have expired. */
  private _noticeTruncation (from: number, result: ReadResult): void {
    if (this._search !== undefined) {
      const readUpTo = from - 1
      const expired = result.oldestOffset > from && readUpTo > 0
      if (expired) this._startOver()
      return
    }
    // Peers may have given records while the read was under way.
    if (result.oldestOffset <= Math.max(from, this._appliedOffset + 1)) return
    this._options.eventLog.warn('log-records-expired', { stream: this.stream, from, oldest: result.oldestOffset })
    this._startOver()
  }

  private _startOver (): void {
    this._search = new CheckpointSearch()
  }

  private _take (record: StoredRecord): void {
    if (this._search === undefined) {
      if (record.offset <= this._appliedOffset) return
      this._apply({ ...record, previousOffset: this._appliedOffset })
      return
    }
    const found = this._search.add(record, this._decode(record).entries, this._appliedOffset)
    if (found !== undefined) this._startFrom(found.checkpoint)
  }

  /** Leaves the search for a checkpoint: loads it, if one is needed, and applies what was held back. */
  private _startFrom (checkpoint: AssembledCheckpoint | undefined): void {
    const held = this._search?.records ?? []
    if (checkpoint !== undefined) this._load(checkpoint)
    this._search = undefined
    this._truncated = false
    for (const record of held) {
      if (record.offset > this._appliedOffset) this._apply({ ...record, previousOffset: this._appliedOffset })
    }
  }

  private _load (checkpoint: AssembledCheckpoint): void {
    const state = fromBinary(StreamStateSchema, checkpoint.state)
    this._options.fold.decodeState(state.foldState)
    this._writers.replace(state.writers)
    this._recent.clear()
    this._appliedOffset = checkpoint.coversOffset
    this._search = undefined
    this._truncated = false
    for (const listener of this._replacedListeners) listener()
  }

  private _reachEnd (result: ReadResult, askedAt: number): void {
    if (this._search !== undefined) {
      const empty = this._search.lastOffset === undefined && result.nextOffset <= 1
      if (!empty) {
        if (!this._truncated) {
          this._options.eventLog.warn('log-state-lost', { stream: this.stream, oldest: result.oldestOffset })
        }
        this._truncated = true
        this._startOver()
        return
      }
      this._search = undefined
    }
    // The answer may be as old as the call, so the proof counts from the call's start.
    this.noteProof(askedAt)
  }

  private _apply (chained: ChainedRecord): void {
    const record = this._decode(chained)
    const position: RecordPosition = {
      offset: chained.offset,
      writerId: record.writerId,
      sequence: Number(record.sequence),
      writtenAtMs: Number(record.writtenAtMs)
    }
    this._appliedOffset = chained.offset
    this._recent.add(chained)
    if (!this._writers.advance(position)) return
    for (const entry of record.entries) this._applyEntry(entry, position)
    for (const listener of this._appliedListeners) listener(position)
  }

  private _applyEntry (entry: LogEntry, position: RecordPosition): void {
    this._options.fold.apply(entry, position)
    if (entry.kind.case !== 'checkpoint') return
    const whole = this._passing.add(entry.kind.value) !== undefined
    if (!whole && entry.kind.value.part > 0) return
    for (const listener of this._checkpointListeners) listener(position, whole)
  }

  /** A record that can't be decoded is folded as empty, the same on every router. */
  private _decode (record: StoredRecord): LogRecord {
    try {
      return fromBinary(LogRecordSchema, record.data)
    } catch {
      this._options.eventLog.warn('log-record-invalid', { stream: this.stream, offset: record.offset })
      return create(LogRecordSchema, {})
    }
  }

  private async _pauseBetweenReads (signal: AbortSignal): Promise<void> {
    if (this._readWanted) return
    this._wake = new AbortController()
    await this._options.clock.sleep(this._options.slowPollMs, AbortSignal.any([signal, this._wake.signal]))
  }
}
