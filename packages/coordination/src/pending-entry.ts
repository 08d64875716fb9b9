import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** An entry that waits to be appended and read back. */
export interface PendingEntry {
  readonly entry: LogEntry
  readonly bytes: number
  /** Whether an append that carries it has been sent. */
  sent: boolean
  /** Whether its caller has got an answer. */
  settled: boolean
  /** Gives the caller the record's offset. */
  readonly resolve: (offset: number) => void
}
