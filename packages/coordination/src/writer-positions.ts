import type { WriterPosition } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { create } from '@bufbuild/protobuf'
import { WriterPositionSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { RecordPosition } from './record-position.js'

/** Writers remembered; the one that has been quiet for the most records is forgotten first. */
const MAXIMUM_WRITERS = 4096

/**
 * Highest sequence folded for each writer. A record at or below it is a repeat of an append, or an append
 * that arrived after its writer had gone on, and must not be applied.
 */
export class WriterPositions {
  private readonly _positions = new Map<string, WriterPosition>()

  /**
   * Notes a record and tells whether it is to be applied.
   * @param position where the record stands and who wrote it
   */
  advance (position: RecordPosition): boolean {
    const known = this._positions.get(position.writerId)
    if (known !== undefined && position.sequence <= Number(known.sequence)) return false
    // Deleting first keeps the map in the order of the writers' last records.
    this._positions.delete(position.writerId)
    this._positions.set(position.writerId, create(WriterPositionSchema, {
      writerId: position.writerId,
      sequence: BigInt(position.sequence),
      offset: BigInt(position.offset)
    }))
    this._forgetOldest()
    return true
  }

  /** The positions in the order of the writers' last records. */
  list (): WriterPosition[] {
    return [...this._positions.values()]
  }

  /**
   * Replaces all positions.
   * @param positions in the order of the writers' last records
   */
  replace (positions: readonly WriterPosition[]): void {
    this._positions.clear()
    for (const position of positions) this._positions.set(position.writerId, position)
  }

  private _forgetOldest (): void {
    if (this._positions.size <= MAXIMUM_WRITERS) return
    const oldest = this._positions.keys().next()
    if (!oldest.done) this._positions.delete(oldest.value)
  }
}
