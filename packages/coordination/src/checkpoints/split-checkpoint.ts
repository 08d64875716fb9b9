import { create } from '@bufbuild/protobuf'
import type { Checkpoint } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { CheckpointSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AssembledCheckpoint } from '../assembled-checkpoint.js'

/**
 * Splits a state into parts that fit into one record each.
 * @param checkpointId unique for each checkpoint
 * @param whole the state
 * @param maximumPartBytes most bytes of state in one part
 */
export function splitCheckpoint (checkpointId: string, whole: AssembledCheckpoint, maximumPartBytes: number): readonly Checkpoint[] {
  const parts = Math.max(1, Math.ceil(whole.state.length / maximumPartBytes))
  return Array.from({ length: parts }, (_, part) => create(CheckpointSchema, {
    checkpointId,
    coversOffset: BigInt(whole.coversOffset),
    part,
    parts,
    state: whole.state.subarray(part * maximumPartBytes, (part + 1) * maximumPartBytes)
  }))
}
