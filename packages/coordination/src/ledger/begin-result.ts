import type { OperationRecord } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { BeginOutcome } from './begin-outcome.js'

/** What became of an attempt to start an operation. */
export interface BeginResult {
  readonly outcome: BeginOutcome
  /** The operation as the ledger knows it; undefined if it knows none. */
  readonly operation: OperationRecord | undefined
}
