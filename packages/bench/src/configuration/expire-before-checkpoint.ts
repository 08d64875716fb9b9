import { fromBinary } from '@bufbuild/protobuf'
import { CheckpointAssembler } from '@mimosarock/coordination/checkpoint-assembler.js'
import { StreamName } from '@mimosarock/coordination/stream-name.js'
import { LogRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'

/**
 * Expires all configuration records that the last complete checkpoint covers, as the end of the retention period does.
 * @param log log service to truncate
 * @returns number of expired records; 0 if there is no complete checkpoint
 */
export function expireBeforeCheckpoint (log: LogServiceStandIn): number {
  const records = log.records(StreamName.CONFIGURATION)
  const assembler = new CheckpointAssembler()
  const coveredOffsets = records.flatMap((record) => fromBinary(LogRecordSchema, record.data).entries)
    .map((entry) => entry.kind.case === 'checkpoint' ? assembler.add(entry.kind.value)?.coversOffset ?? 0 : 0)
  const lastCovered = Math.max(0, ...coveredOffsets)
  const expired = records.filter((record) => record.offset <= lastCovered).length
  log.truncate(StreamName.CONFIGURATION, lastCovered + 1)
  return expired
}
