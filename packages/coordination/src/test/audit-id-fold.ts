import type { LogFold } from '@mimosarock/coordination/log-fold.js'
import type { RecordPosition } from '@mimosarock/coordination/record-position.js'
import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** A fold whose state is the list of applied audit ids with their offsets, which reveals lost, duplicated and reordered entries. */
export class AuditIdFold implements LogFold {
  appliedEntries: string[] = []

  apply (entry: LogEntry, position: RecordPosition): void {
    if (entry.kind.case === 'audit') this.appliedEntries.push(`${entry.kind.value.auditId}@${position.offset}`)
  }

  encodeState (): Uint8Array {
    return Buffer.from(JSON.stringify(this.appliedEntries))
  }

  decodeState (state: Uint8Array): void {
    this.appliedEntries = JSON.parse(Buffer.from(state).toString())
  }
}
