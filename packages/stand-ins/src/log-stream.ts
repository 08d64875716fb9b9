import type { ReadResult } from '@mimosarock/coordination/read-result.js'
import type { StoredRecord } from '@mimosarock/coordination/stored-record.js'

/** In-memory stream of a log service stand-in. */
export class LogStream {
  private _records: StoredRecord[] = []
  private _nextOffset = 1
  private readonly _waiters = new Set<() => void>()

  /** Retained records, in order of their offsets. */
  get records (): readonly StoredRecord[] {
    return this._records
  }

  /** Offset of the oldest retained record, or the next offset if no record is retained. */
  get oldestOffset (): number {
    return this._records[0]?.offset ?? this._nextOffset
  }

  /** Offset that will be assigned to the next record. */
  get nextOffset (): number {
    return this._nextOffset
  }

  /**
   * Appends a record and expires those beyond the retention limit.
   * @param data the encoded record
   * @param retainedRecords maximum number of records that are retained
   * @returns offset of the record
   */
  append (data: Uint8Array, retainedRecords: number): number {
    const offset = this._nextOffset
    this._nextOffset += 1
    this._records.push({ offset, data: Uint8Array.from(data) })
    if (this._records.length > retainedRecords) this.truncate(this._nextOffset - retainedRecords)
    for (const wake of this._waiters) wake()
    return offset
  }

  /**
   * Expires old records.
   * @param beforeOffset first offset that is retained
   */
  truncate (beforeOffset: number): void {
    const dropCount = Math.min(Math.max(beforeOffset - this.oldestOffset, 0), this._records.length)
    this._records = this._records.slice(dropCount)
  }

  /**
   * Reads records without waiting.
   * @param fromOffset offset of the first record; reading starts at the oldest retained record if that is later
   * @param limit maximum number of records
   */
  read (fromOffset: number, limit: number): ReadResult {
    const start = Math.max(fromOffset - this.oldestOffset, 0)
    return {
      records: this._records.slice(start, start + limit),
      oldestOffset: this.oldestOffset,
      nextOffset: this._nextOffset
    }
  }

  /**
   * Subscribes to new records.
   * @param wake called after each append and at the start of an outage
   * @returns function that ends the subscription
   */
  onAppend (wake: () => void): () => void {
    this._waiters.add(wake)
    return () => this._waiters.delete(wake)
  }

  /** Wakes all pending reads, for instance at the start of an outage. */
  wakeAll (): void {
    for (const wake of this._waiters) wake()
  }
}
