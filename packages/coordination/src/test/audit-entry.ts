import { create } from '@bufbuild/protobuf'
import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Creates an audit entry, which an `AuditIdFold` stores. */
export function auditEntry (auditId: string): LogEntry {
  return create(LogEntrySchema, { kind: { case: 'audit', value: { auditId } } })
}
