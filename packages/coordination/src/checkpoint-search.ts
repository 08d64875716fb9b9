import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AssembledCheckpoint } from './assembled-checkpoint.js'
import { CheckpointAssembler } from './checkpoint-assembler.js'
import type { CheckpointSearchResult } from './checkpoint-search-result.js'
import type { StoredRecord } from './stored-record.js'

const FIRST_OFFSET = 1

/**
 * Looks for the place from which a stream can be folded: its first record, or a whole checkpoint that covers everything
 * before the oldest kept record. Holds the records back that were read meanwhile.
 */
export class CheckpointSearch {
  private readonly _assembler = new CheckpointAssembler()
  private readonly _records: StoredRecord[] = []

  /** The records that were read, in the order of their offsets. */
  get records (): readonly StoredRecord[] {
    return this._records
  }

  /** Offset of the last record that was read; undefined if there is none. */
  get lastOffset (): number | undefined {
    return this._records.at(-1)?.offset
  }

  /**
   * Takes the next record.
   * @param record as it was read
   * @param entries what it holds
   * @param appliedOffset last offset that is folded already; an older checkpoint is of no use
   * @returns where to start, or undefined if the search goes on
   */
  add (record: StoredRecord, entries: readonly LogEntry[], appliedOffset: number): CheckpointSearchResult | undefined {
    this._records.push(record)
    const oldest = this._records[0]?.offset ?? 0
    if (oldest === FIRST_OFFSET) return { checkpoint: undefined }
    for (const entry of entries) {
      if (entry.kind.case !== 'checkpoint') continue
      const whole: AssembledCheckpoint | undefined = this._assembler.add(entry.kind.value)
      if (whole !== undefined && whole.coversOffset >= oldest - 1 && whole.coversOffset >= appliedOffset) return { checkpoint: whole }
    }
    return undefined
  }
}
