import type { Configuration, FieldProblem } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ItemChange } from './item-change.js'

/** Result of evaluating a change against the configuration. */
export interface ChangeOutcome {
  /** OK if the change is accepted. */
  readonly code: ResultCode
  /** Human-readable reason of a rejection; empty if the change is accepted. */
  readonly detail: string
  /** Resulting configuration; the current one if the change is rejected. */
  readonly configuration: Configuration
  /** Items that the change modifies; for a revision conflict, those modified since the revision the change is based on. */
  readonly changes: readonly ItemChange[]
  readonly problems: readonly FieldProblem[]
}
