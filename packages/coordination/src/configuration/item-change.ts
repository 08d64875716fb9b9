import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** One named item that differs between two configurations. */
export interface ItemChange {
  /** Kind and name of the item, for example `workspace/alpha`. */
  readonly subject: string
  /** JSON of the item in the earlier configuration; empty if the item was added. */
  readonly before: string
  /** JSON of the item in the later configuration; empty if the item was removed. */
  readonly after: string
  /** Edit that restores the earlier version of the item. */
  readonly undo: ConfigurationEdit
}
