import type { OperationRecord } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { BeginOutcome } from './begin-outcome.js'

/** Result of an attempt to start an operation. */
export interface BeginResult {
  readonly outcome: BeginOutcome
  /** State of the operation in the ledger; undefined if the ledger has no operation for the key. */
  readonly operation: OperationRecord | undefined
}
