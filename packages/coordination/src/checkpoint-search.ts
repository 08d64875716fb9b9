import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AssembledCheckpoint } from './assembled-checkpoint.js'
import { CheckpointAssembler } from './checkpoint-assembler.js'
import type { CheckpointSearchResult } from './checkpoint-search-result.js'
import type { StoredRecord } from './stored-record.js'

const FIRST_OFFSET = 1

/**
 * Searches a stream for a starting point for replay: its first record, or a complete checkpoint that covers every
 * record before the oldest one in the log. Buffers the records that are read during the search.
 */
export class CheckpointSearch {
  private readonly _assembler = new CheckpointAssembler()
  private readonly _records: StoredRecord[] = []

  /** Buffered records in offset order. */
  get records (): readonly StoredRecord[] {
    return this._records
  }

  /** Offset of the last buffered record; undefined if there is none. */
  get lastOffset (): number | undefined {
    return this._records.at(-1)?.offset
  }

  /**
   * Buffers the next record and checks whether replay can start.
   * @param record record as read from the log
   * @param entries decoded entries of the record
   * @param appliedOffset last offset that the replica has applied; checkpoints before it are ignored
   * @returns the starting point, or undefined if more records are needed
   */
  add (record: StoredRecord, entries: readonly LogEntry[], appliedOffset: number): CheckpointSearchResult | undefined {
    this._records.push(record)
    const oldest = this._records[0]?.offset ?? 0
    if (oldest === FIRST_OFFSET) return { checkpoint: undefined }
    for (const entry of entries) {
      if (entry.kind.case !== 'checkpoint') continue
      const assembled: AssembledCheckpoint | undefined = this._assembler.add(entry.kind.value)
      if (assembled !== undefined && assembled.coversOffset >= oldest - 1 && assembled.coversOffset >= appliedOffset) return { checkpoint: assembled }
    }
    return undefined
  }
}
