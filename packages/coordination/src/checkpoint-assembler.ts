import type { Checkpoint } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AssembledCheckpoint } from './assembled-checkpoint.js'

/** Upper bound on partially read checkpoints; more than a few means that their writers stopped before the last part. */
const MAXIMUM_PENDING = 8

/** Reassembles checkpoints from their parts, which may arrive interleaved and in any order. */
export class CheckpointAssembler {
  private readonly _pending = new Map<string, Map<number, Checkpoint>>()

  /**
   * Adds a part. A part with an invalid index is ignored.
   * @param checkpoint one part of a checkpoint
   * @returns the reassembled checkpoint if this was its last missing part, otherwise undefined
   */
  add (checkpoint: Checkpoint): AssembledCheckpoint | undefined {
    if (checkpoint.parts < 1 || checkpoint.part >= checkpoint.parts) return undefined
    const parts = this._pending.get(checkpoint.checkpointId) ?? new Map<number, Checkpoint>()
    parts.set(checkpoint.part, checkpoint)
    this._pending.set(checkpoint.checkpointId, parts)
    if (parts.size < checkpoint.parts) {
      this._dropOldest()
      return undefined
    }
    this._pending.delete(checkpoint.checkpointId)
    const ordered = [...parts.values()].sort((left, right) => left.part - right.part)
    return {
      coversOffset: Number(checkpoint.coversOffset),
      state: Buffer.concat(ordered.map((part) => part.state))
    }
  }

  private _dropOldest (): void {
    if (this._pending.size <= MAXIMUM_PENDING) return
    const oldest = this._pending.keys().next()
    if (!oldest.done) this._pending.delete(oldest.value)
  }
}
