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

/** Maximum number of records in one read. */
const READ_LIMIT = 500
/** Delay after a failed read; doubles up to the maximum while reads fail. */
const MINIMUM_RETRY_DELAY_MS = 50
const MAXIMUM_RETRY_DELAY_MS = 2_000
/** Upper bound on the record bytes buffered for peers. */
const MAXIMUM_RECENT_BYTES = 4 * 1024 * 1024

/**
 * Replicates one stream of the log service into a fold. The task `run` reads the stream; records that peers have read
 * can be offered as well. Each record is applied once, in offset order, regardless of its source.
 *
 * If the first records of the stream have expired, the replica starts from a checkpoint: it buffers records until it
 * has read a complete checkpoint that covers every record before the oldest one in the log.
 */
export class StreamReplica {
  private readonly _options: StreamReplicaOptions
  private readonly _writers = new WriterPositions()
  private readonly _recentRecords = new RecentRecords(MAXIMUM_RECENT_BYTES)
  private readonly _appliedListeners = new Set<(position: RecordPosition) => void>()
  private readonly _provenListeners = new Set<() => void>()
  private readonly _replacedListeners = new Set<() => void>()
  private readonly _checkpointListeners = new Set<(position: RecordPosition, isComplete: boolean) => void>()
  /** Assembles the checkpoints in the stream, to detect when a complete one has been read. */
  private readonly _checkpointAssembler = new CheckpointAssembler()
  /** Search for a starting point; undefined once the replica has started. */
  private _search: CheckpointSearch | undefined = new CheckpointSearch()
  private _appliedOffset = 0
  private _provenAt: number | undefined
  private _stateLost = false
  private _oldestOffset = 1
  /** Number of states adopted from peers; the result of a read is discarded if a state was adopted during it. */
  private _adoptions = 0
  private _wake = new AbortController()
  private _readRequested = false

  /**
   * @param options stream, log service, fold and read timing
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

  /** Whether the state reflects every record of the stream up to the applied offset. */
  get started (): boolean {
    return this._search === undefined
  }

  /**
   * Whether required records are in neither the log nor a checkpoint. The replica then starts only once a peer provides
   * its state or a further checkpoint is appended.
   */
  get stateLost (): boolean {
    return this._stateLost
  }

  /** Offset of the oldest record in the log as of the last read. */
  get oldestOffset (): number {
    return this._oldestOffset
  }

  /**
   * Time since the replica was last proved current, in milliseconds; Infinity if it never was.
   */
  get stalenessMs (): number {
    if (this._provenAt === undefined) return Infinity
    return this._options.clock.now() - this._provenAt
  }

  /**
   * Subscribes to applied records; repeated appends of a record are not applied and not reported.
   * @param listener receives the position of each record after its entries have been applied
   * @returns a function that removes the listener
   */
  onApplied (listener: (position: RecordPosition) => void): () => void {
    this._appliedListeners.add(listener)
    return () => this._appliedListeners.delete(listener)
  }

  /**
   * Subscribes to proofs that the replica is current.
   * @param listener called each time the replica is proved to have applied the whole stream
   * @returns a function that removes the listener
   */
  onProven (listener: () => void): () => void {
    this._provenListeners.add(listener)
    return () => this._provenListeners.delete(listener)
  }

  /**
   * Subscribes to replacements of the state.
   * @param listener called after the state has been replaced with a checkpoint from the log or from a peer
   * @returns a function that removes the listener
   */
  onReplaced (listener: () => void): () => void {
    this._replacedListeners.add(listener)
    return () => this._replacedListeners.delete(listener)
  }

  /**
   * Subscribes to checkpoints in the stream: to the first part of each checkpoint, and to the part that completes it.
   * @param listener receives the position of the part's record and whether the checkpoint is now complete
   * @returns a function that removes the listener
   */
  onCheckpoint (listener: (position: RecordPosition, isComplete: boolean) => void): () => void {
    this._checkpointListeners.add(listener)
    return () => this._checkpointListeners.delete(listener)
  }

  /** Reads immediately, or after the read in progress, instead of at the next slow poll. */
  readNow (): void {
    this._readRequested = true
    this._wake.abort()
  }

  /**
   * Reads the stream until the signal aborts. Failed reads are retried indefinitely with exponential backoff.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    let retryDelayMs = MINIMUM_RETRY_DELAY_MS
    while (!signal.aborted) {
      try {
        const shouldPause = await this._readOnce(signal)
        retryDelayMs = MINIMUM_RETRY_DELAY_MS
        if (shouldPause) await this._pauseBetweenReads(signal)
      } catch (error) {
        if (signal.aborted) return
        this._options.eventLog.warn('log-read-failed', { stream: this.stream, error: String(error), retry_ms: retryDelayMs })
        await this._options.clock.sleep(retryDelayMs, signal)
        retryDelayMs = Math.min(retryDelayMs * 2, MAXIMUM_RETRY_DELAY_MS)
      }
    }
  }

  /**
   * Applies records that a peer has read. Records that do not directly follow the applied offset are ignored.
   * @param records records in offset order
   * @returns number of applied records
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
   * Returns the records that follow an offset, for a peer.
   * @param offset last offset that the peer has applied
   * @param maximumBytes upper bound on the returned record bytes
   * @returns undefined if the replica can't provide these records; the peer then needs the state
   */
  recordsAfter (offset: number, maximumBytes: number): readonly ChainedRecord[] | undefined {
    if (!this.started || offset > this._appliedOffset) return undefined
    if (offset === this._appliedOffset) return []
    return this._recentRecords.after(offset, maximumBytes)
  }

  /**
   * Encodes the state at the applied offset, for a checkpoint or for a peer.
   */
  checkpoint (): AssembledCheckpoint {
    const state = create(StreamStateSchema, {
      writers: this._writers.list(),
      foldState: this._options.fold.encodeState()
    })
    return { coversOffset: this._appliedOffset, state: toBinary(StreamStateSchema, state) }
  }

  /**
   * Loads the state of a peer if it is newer than the state of this replica. A replica that has not started yet also
   * loads a state at its own offset, but never an older one.
   * @param checkpoint state of the peer
   * @returns whether the state was loaded
   */
  adopt (checkpoint: AssembledCheckpoint): boolean {
    const isNewer = checkpoint.coversOffset > this._appliedOffset
    if (!isNewer && (this.started || checkpoint.coversOffset < this._appliedOffset)) return false
    this._adoptions += 1
    this._loadCheckpoint(checkpoint)
    this._options.eventLog.info('state-adopted', { stream: this.stream, offset: checkpoint.coversOffset })
    return true
  }

  /**
   * Records that the replica is proved current as of a time. Callers that rely on a peer's proof must check that this
   * replica has reached the offset that the peer had applied at that time.
   * @param provenAt time of the proof on the injected clock, in milliseconds
   */
  recordProof (provenAt: number): void {
    if (!this.started) return
    this._provenAt = Math.max(provenAt, this._provenAt ?? provenAt)
    for (const listener of this._provenListeners) listener()
  }

  /** Reads and processes one batch of records; returns whether to pause before the next read. */
  private async _readOnce (signal: AbortSignal): Promise<boolean> {
    this._readRequested = false
    const from = this._nextReadOffset()
    const requestedAt = this._options.clock.now()
    const adoptions = this._adoptions
    const waitMs = this._isReader() && this.started ? this._options.longPollMs : 0
    const timeout = AbortSignal.timeout(waitMs + this._options.readTimeoutMs)
    const result = await this._options.logService.read(this.stream, from, {
      limit: READ_LIMIT,
      waitMs,
      signal: AbortSignal.any([signal, timeout])
    })
    this._oldestOffset = result.oldestOffset
    // The records of this read may not directly follow the adopted state.
    if (adoptions !== this._adoptions) return false
    this._detectExpiredRecords(from, result)
    for (const record of result.records) this._processRecord(record)
    const atEnd = this._nextReadOffset() >= result.nextOffset || result.records.length === 0
    if (atEnd) this._handleEndOfStream(result, requestedAt)
    // A reader needs no pause, since its long poll waits at the service; a replica that is not at the end reads on at once.
    return atEnd && (!this._isReader() || !this.started)
  }

  private _isReader (): boolean {
    return this._options.isReader?.() ?? true
  }

  private _nextReadOffset (): number {
    return (this._search?.lastOffset ?? this._appliedOffset) + 1
  }

  /** Restarts the search for a checkpoint if unread records have expired: the oldest record is after the requested offset. */
  private _detectExpiredRecords (from: number, result: ReadResult): void {
    if (this._search !== undefined) {
      const lastReadOffset = from - 1
      const expired = result.oldestOffset > from && lastReadOffset > 0
      if (expired) this._restartSearch()
      return
    }
    // Records from peers may have been applied during the read.
    if (result.oldestOffset <= Math.max(from, this._appliedOffset + 1)) return
    this._options.eventLog.warn('log-records-expired', { stream: this.stream, from, oldest: result.oldestOffset })
    this._restartSearch()
  }

  private _restartSearch (): void {
    this._search = new CheckpointSearch()
  }

  private _processRecord (record: StoredRecord): void {
    if (this._search === undefined) {
      if (record.offset <= this._appliedOffset) return
      this._apply({ ...record, previousOffset: this._appliedOffset })
      return
    }
    const found = this._search.add(record, this._decode(record).entries, this._appliedOffset)
    if (found !== undefined) this._finishSearch(found.checkpoint)
  }

  /** Ends the search: loads the checkpoint, if one is needed, and applies the buffered records. */
  private _finishSearch (checkpoint: AssembledCheckpoint | undefined): void {
    const buffered = this._search?.records ?? []
    if (checkpoint !== undefined) this._loadCheckpoint(checkpoint)
    this._search = undefined
    this._stateLost = false
    for (const record of buffered) {
      if (record.offset > this._appliedOffset) this._apply({ ...record, previousOffset: this._appliedOffset })
    }
  }

  private _loadCheckpoint (checkpoint: AssembledCheckpoint): void {
    const state = fromBinary(StreamStateSchema, checkpoint.state)
    this._options.fold.decodeState(state.foldState)
    this._writers.replace(state.writers)
    this._recentRecords.clear()
    this._appliedOffset = checkpoint.coversOffset
    this._search = undefined
    this._stateLost = false
    for (const listener of this._replacedListeners) listener()
  }

  private _handleEndOfStream (result: ReadResult, requestedAt: number): void {
    if (this._search !== undefined) {
      const isEmpty = this._search.lastOffset === undefined && result.nextOffset <= 1
      if (!isEmpty) {
        if (!this._stateLost) {
          this._options.eventLog.warn('log-state-lost', { stream: this.stream, oldest: result.oldestOffset })
        }
        this._stateLost = true
        this._restartSearch()
        return
      }
      this._search = undefined
    }
    // The response may reflect the log as of the start of the request, which is therefore the time of the proof.
    this.recordProof(requestedAt)
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
    this._recentRecords.add(chained)
    if (!this._writers.advance(position)) return
    for (const entry of record.entries) this._applyEntry(entry, position)
    for (const listener of this._appliedListeners) listener(position)
  }

  private _applyEntry (entry: LogEntry, position: RecordPosition): void {
    this._options.fold.apply(entry, position)
    if (entry.kind.case !== 'checkpoint') return
    const isComplete = this._checkpointAssembler.add(entry.kind.value) !== undefined
    if (!isComplete && entry.kind.value.part > 0) return
    for (const listener of this._checkpointListeners) listener(position, isComplete)
  }

  /** Decodes a record; one that can't be decoded is treated as empty, in the same way on every router. */
  private _decode (record: StoredRecord): LogRecord {
    try {
      return fromBinary(LogRecordSchema, record.data)
    } catch {
      this._options.eventLog.warn('log-record-invalid', { stream: this.stream, offset: record.offset })
      return create(LogRecordSchema, {})
    }
  }

  private async _pauseBetweenReads (signal: AbortSignal): Promise<void> {
    if (this._readRequested) return
    this._wake = new AbortController()
    await this._options.clock.sleep(this._options.slowPollMs, AbortSignal.any([signal, this._wake.signal]))
  }
}
