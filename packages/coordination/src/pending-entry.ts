import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** An entry that has not been confirmed: it is queued, in flight, or appended and not yet read back. */
export interface PendingEntry {
  readonly entry: LogEntry
  readonly bytes: number
  /** Whether an append that contains the entry has been sent. */
  sent: boolean
  /** Whether the promise of the caller has been settled. */
  settled: boolean
  /** Resolves the promise of the caller with the offset of the entry's record. */
  readonly resolve: (offset: number) => void
}
