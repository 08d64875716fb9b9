import { create } from '@bufbuild/protobuf'
import type { AssembledCheckpoint } from '@mimosarock/coordination/assembled-checkpoint.js'
import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Splits a checkpoint into the given number of parts and returns one log entry for each. */
export function checkpointEntries (id: string, checkpoint: AssembledCheckpoint, parts: number): LogEntry[] {
  const size = Math.ceil(checkpoint.state.length / parts)
  return Array.from({ length: parts }, (_, part) => create(LogEntrySchema, {
    kind: {
      case: 'checkpoint',
      value: { checkpointId: id, coversOffset: BigInt(checkpoint.coversOffset), part, parts, state: checkpoint.state.slice(part * size, (part + 1) * size) }
    }
  }))
}
