import type { WriterPosition } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { create } from '@bufbuild/protobuf'
import { WriterPositionSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { RecordPosition } from './record-position.js'

/** Upper bound on tracked writers; the one whose last record is the oldest is dropped first. */
const MAXIMUM_WRITERS = 4096

/**
 * Highest applied sequence number of each writer. A record with this number or a lower one is a repeated append, or
 * an append that was delayed until after a later record of its writer, and must not be applied.
 */
export class WriterPositions {
  private readonly _positions = new Map<string, WriterPosition>()

  /**
   * Advances the position of the writer of a record.
   * @param position position, writer and sequence number of the record
   * @returns whether the record must be applied; false for a repeated or delayed append
   */
  advance (position: RecordPosition): boolean {
    const last = this._positions.get(position.writerId)
    if (last !== undefined && position.sequence <= Number(last.sequence)) return false
    // Deleting the key first maintains the map in the order of the writers' last records.
    this._positions.delete(position.writerId)
    this._positions.set(position.writerId, create(WriterPositionSchema, {
      writerId: position.writerId,
      sequence: BigInt(position.sequence),
      offset: BigInt(position.offset)
    }))
    this._dropOldest()
    return true
  }

  /** Returns the positions in the order of the writers' last records. */
  list (): WriterPosition[] {
    return [...this._positions.values()]
  }

  /**
   * Replaces all positions with those of a checkpoint.
   * @param positions positions in the order of the writers' last records
   */
  replace (positions: readonly WriterPosition[]): void {
    this._positions.clear()
    for (const position of positions) this._positions.set(position.writerId, position)
  }

  private _dropOldest (): void {
    if (this._positions.size <= MAXIMUM_WRITERS) return
    const oldest = this._positions.keys().next()
    if (!oldest.done) this._positions.delete(oldest.value)
  }
}
