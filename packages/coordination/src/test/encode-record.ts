import { create, toBinary } from '@bufbuild/protobuf'
import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Encodes a log record with the given entries. */
export function encodeRecord (writerId: string, sequence: number, entries: readonly LogEntry[]): Uint8Array {
  return toBinary(LogRecordSchema, create(LogRecordSchema, { writerId, sequence: BigInt(sequence), entries: [...entries] }))
}
