import type { ReadResult } from '@mimosarock/coordination/read-result.js'
import type { StoredRecord } from '@mimosarock/coordination/stored-record.js'

/** One stream of a log service stand-in, in memory. */
export class LogStream {
  private _records: StoredRecord[] = []
  private _nextOffset = 1
  private readonly _waiters = new Set<() => void>()

  /** Kept records. */
  get records (): readonly StoredRecord[] {
    return this._records
  }

  /** Offset of the oldest kept record; the next offset if none is kept. */
  get oldestOffset (): number {
    return this._records[0]?.offset ?? this._nextOffset
  }

  /** Offset that the next record gets. */
  get nextOffset (): number {
    return this._nextOffset
  }

  /**
   * Adds a record.
   * @param data the encoded record
   * @param retainedRecords most records kept
   * @returns its offset
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
   * Drops old records.
   * @param beforeOffset the first offset kept
   */
  truncate (beforeOffset: number): void {
    const drop = Math.min(Math.max(beforeOffset - this.oldestOffset, 0), this._records.length)
    this._records = this._records.slice(drop)
  }

  /**
   * Reads without waiting.
   * @param fromOffset first offset wanted
   * @param limit most records given
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
   * Calls back at the next record.
   * @param wake called for each new record
   * @returns a function that ends the calls
   */
  onAppend (wake: () => void): () => void {
    this._waiters.add(wake)
    return () => this._waiters.delete(wake)
  }

  /** Wakes every waiting read, as an outage does. */
  wakeAll (): void {
    for (const wake of this._waiters) wake()
  }
}
