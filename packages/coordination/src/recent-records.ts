import type { ChainedRecord } from './chained-record.js'

/** The last records of a stream, kept in memory for peers that can't read the log. */
export class RecentRecords {
  private readonly _records: ChainedRecord[] = []
  private readonly _maximumBytes: number
  private _bytes = 0

  /**
   * @param maximumBytes most record bytes kept
   */
  constructor (maximumBytes: number) {
    this._maximumBytes = maximumBytes
  }

  /**
   * Keeps a record; the oldest are dropped beyond the bound.
   * @param record the newest record
   */
  add (record: ChainedRecord): void {
    this._records.push(record)
    this._bytes += record.data.length
    while (this._bytes > this._maximumBytes && this._records.length > 1) {
      this._bytes -= this._records.shift()?.data.length ?? 0
    }
  }

  /**
   * Records that follow an offset without a gap.
   * @param offset the last offset that the asker has
   * @param maximumBytes bound on the record bytes given; at least one record is given
   * @returns undefined if the record right after the offset is no longer kept
   */
  after (offset: number, maximumBytes: number): readonly ChainedRecord[] | undefined {
    const start = this._records.findIndex((record) => record.previousOffset === offset)
    if (start < 0) return undefined
    const found: ChainedRecord[] = []
    let bytes = 0
    for (let index = start; index < this._records.length; index += 1) {
      const record = this._records[index]
      if (record === undefined) break
      bytes += record.data.length
      if (found.length > 0 && bytes > maximumBytes) break
      found.push(record)
    }
    return found
  }

  /** Drops all records, after the state was replaced by a checkpoint. */
  clear (): void {
    this._records.length = 0
    this._bytes = 0
  }
}
