import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** How one kind of named part of the configuration is listed, shown and removed. */
export interface PartKind {
  readonly headers: readonly string[]
  /**
   * Rows of a table of all parts; the first cell is the name.
   * @param configuration the configuration
   */
  rows (configuration: Configuration): string[][]
  /**
   * All parts as JSON, in the order of the rows.
   * @param configuration the configuration
   */
  json (configuration: Configuration): unknown[]
  /**
   * The edit that removes a part.
   * @param name the part's name
   */
  remove (name: string): ConfigurationEdit['kind']
}
