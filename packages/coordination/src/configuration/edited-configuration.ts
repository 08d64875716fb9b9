import type { Configuration, FieldProblem } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Result of applying edits to a configuration. */
export interface EditedConfiguration {
  /** Edited configuration with its lists sorted by name; unchanged items are the same objects as before. */
  readonly configuration: Configuration
  /** Problems of the edits and of the resulting configuration; empty if the edits are valid. */
  readonly problems: readonly FieldProblem[]
}
