import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/**
 * Kind of named configuration part (workspace, pool, route, retirement rule or retirement); defines how its parts are
 * listed, shown and removed.
 */
export interface PartKind {
  /** Column headers of the table. */
  readonly headers: readonly string[]
  /**
   * Returns the table rows of all parts of this kind; the first cell of each row is the name.
   * @param configuration configuration that contains the parts
   */
  rows (configuration: Configuration): string[][]
  /**
   * Returns all parts of this kind as JSON values, in the order of the rows.
   * @param configuration configuration that contains the parts
   */
  json (configuration: Configuration): unknown[]
  /**
   * Returns the edit that removes a part.
   * @param name name of the part; of a retirement, `POOL/ENDPOINT`
   */
  remove (name: string): ConfigurationEdit['kind']
}
