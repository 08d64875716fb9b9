import { clone, create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, PoolSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ChangeCommand } from '../change-command.js'
import { findPool } from '../find-pool.js'

/** The `pool remove-endpoint` command: removes an endpoint from a pool, usually after its retirement. */
export class RemoveEndpointCommand extends ChangeCommand {
  static override paths = [['pool', 'remove-endpoint']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Removes an endpoint and its retirement, if any, from a pool.',
    examples: [['Remove an engine', 'mimosarock pool remove-endpoint chat engine-1 --based-on 14']]
  })

  pool = Option.String({ name: 'POOL' })
  name = Option.String({ name: 'ENDPOINT' })

  /**
   * Returns the edits that set the pool without the endpoint and remove its retirement.
   * @param current newest configuration known to the router
   * @throws {MimosarockError} CONFIGURATION_REFERENCE_UNKNOWN if the pool or endpoint does not exist
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const value = clone(PoolSchema, findPool(current, this.pool))
    value.endpoints = value.endpoints.filter((endpoint) => endpoint.name !== this.name)
    if (value.endpoints.length === findPool(current, this.pool).endpoints.length) {
      throw new MimosarockError(ResultCode.CONFIGURATION_REFERENCE_UNKNOWN, `pool ${this.pool} has no endpoint ${this.name}`, { field: 'ENDPOINT' })
    }
    const retirement = current.retirements.find((candidate) => candidate.pool === this.pool && candidate.endpoint === this.name)
    const edits = [create(ConfigurationEditSchema, { kind: { case: 'setPool', value } })]
    if (retirement !== undefined) edits.push(create(ConfigurationEditSchema, { kind: { case: 'removeRetirement', value: retirement } }))
    return edits
  }
}
