import type { Checkpoint, FieldProblem } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** A configuration that an operator submits to a fleet that has lost it, as a checkpoint. */
export interface Recovery {
  readonly checkpoint: Checkpoint
  /** What is wrong with the configuration; empty if the checkpoint may be appended. */
  readonly problems: readonly FieldProblem[]
}
