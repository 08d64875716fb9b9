import { fromBinary } from '@bufbuild/protobuf'
import { CheckpointAssembler } from '@mimosarock/coordination/checkpoint-assembler.js'
import { StreamName } from '@mimosarock/coordination/stream-name.js'
import { LogRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'

/**
 * Expires all records of the configuration that the last whole checkpoint covers, as the end of retention does.
 * @param log the log service
 * @returns records that expired; 0 if there is no such checkpoint
 */
export function expireBeforeCheckpoint (log: LogServiceStandIn): number {
  const records = log.records(StreamName.CONFIGURATION)
  const assembler = new CheckpointAssembler()
  const covers = records.flatMap((record) => fromBinary(LogRecordSchema, record.data).entries)
    .map((entry) => entry.kind.case === 'checkpoint' ? assembler.add(entry.kind.value)?.coversOffset ?? 0 : 0)
  const last = Math.max(0, ...covers)
  const expired = records.filter((record) => record.offset <= last).length
  log.truncate(StreamName.CONFIGURATION, last + 1)
  return expired
}
