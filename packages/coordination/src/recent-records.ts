import type { ChainedRecord } from './chained-record.js'

/** Bounded in-memory buffer of the most recent records of a stream, for peers that can't read the log. */
export class RecentRecords {
  private readonly _records: ChainedRecord[] = []
  private readonly _maximumBytes: number
  private _bytes = 0

  /**
   * @param maximumBytes upper bound on the buffered record bytes; the newest record is buffered regardless of its size
   */
  constructor (maximumBytes: number) {
    this._maximumBytes = maximumBytes
  }

  /**
   * Adds a record and drops the oldest records beyond the size limit.
   * @param record newest record of the stream
   */
  add (record: ChainedRecord): void {
    this._records.push(record)
    this._bytes += record.data.length
    while (this._bytes > this._maximumBytes && this._records.length > 1) {
      this._bytes -= this._records.shift()?.data.length ?? 0
    }
  }

  /**
   * Returns the records that follow an offset without a gap.
   * @param offset last offset that the peer has applied
   * @param maximumBytes upper bound on the returned record bytes; at least one record is returned
   * @returns undefined if the record that directly follows the offset is not in the buffer
   */
  after (offset: number, maximumBytes: number): readonly ChainedRecord[] | undefined {
    const start = this._records.findIndex((record) => record.previousOffset === offset)
    if (start < 0) return undefined
    const result: ChainedRecord[] = []
    let bytes = 0
    for (let index = start; index < this._records.length; index += 1) {
      const record = this._records[index]
      if (record === undefined) break
      bytes += record.data.length
      if (result.length > 0 && bytes > maximumBytes) break
      result.push(record)
    }
    return result
  }

  /** Drops all records; called when the state is replaced with a checkpoint. */
  clear (): void {
    this._records.length = 0
    this._bytes = 0
  }
}
