import type { Checkpoint, FieldProblem } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Recovery of a lost configuration: the configuration that an operator submits, as a checkpoint. */
export interface Recovery {
  readonly checkpoint: Checkpoint
  /** Problems of the submitted configuration; empty if the checkpoint may be appended. */
  readonly problems: readonly FieldProblem[]
}
