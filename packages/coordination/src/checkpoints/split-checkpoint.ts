import { create } from '@bufbuild/protobuf'
import type { Checkpoint } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { CheckpointSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AssembledCheckpoint } from '../assembled-checkpoint.js'

/**
 * Splits a checkpoint into parts that each fit into one record.
 * @param checkpointId unique id of the checkpoint; groups the parts for reassembly
 * @param checkpoint the state and the offset that it covers
 * @param maximumPartBytes upper bound on the bytes of state in one part
 * @returns the parts in order, at least one
 */
export function splitCheckpoint (checkpointId: string, checkpoint: AssembledCheckpoint, maximumPartBytes: number): readonly Checkpoint[] {
  const parts = Math.max(1, Math.ceil(checkpoint.state.length / maximumPartBytes))
  return Array.from({ length: parts }, (_, part) => create(CheckpointSchema, {
    checkpointId,
    coversOffset: BigInt(checkpoint.coversOffset),
    part,
    parts,
    state: checkpoint.state.subarray(part * maximumPartBytes, (part + 1) * maximumPartBytes)
  }))
}
