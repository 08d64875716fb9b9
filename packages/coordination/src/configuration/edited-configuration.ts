import type { Configuration, FieldProblem } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** What edits make of a configuration. */
export interface EditedConfiguration {
  /** The edited configuration; its lists are sorted by name, and unchanged parts are the same objects. */
  readonly configuration: Configuration
  /** What is wrong with the edits themselves or with the result; empty if it may be accepted. */
  readonly problems: readonly FieldProblem[]
}
