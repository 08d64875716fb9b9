import type { Configuration, FieldProblem } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { ResultCode } from '@mimosarock/schema/result-code.js'
import type { PartChange } from './part-change.js'

/** What a change does, or would do, to the configuration. */
export interface ChangeOutcome {
  /** OK if it is accepted. */
  readonly code: ResultCode
  /** For people. */
  readonly detail: string
  /** The configuration that results; the present one if the change is refused. */
  readonly configuration: Configuration
  /** Parts that differ; for a conflict, those that the winning changes made different. */
  readonly changes: readonly PartChange[]
  readonly problems: readonly FieldProblem[]
}
