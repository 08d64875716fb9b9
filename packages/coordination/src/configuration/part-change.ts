import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** One named part that differs between two configurations. */
export interface PartChange {
  /** Kind and name, for example `workspace/alpha`. */
  readonly subject: string
  /** JSON of the part before; empty if there was none. */
  readonly before: string
  /** JSON of the part after; empty if there is none. */
  readonly after: string
  /** The edit that leads from after back to before. */
  readonly undo: ConfigurationEdit
}
