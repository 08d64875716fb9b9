import { clone, create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, PoolSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ChangeCommand } from '../change-command.js'
import { findPool } from '../find-pool.js'

/** Removes an endpoint from a pool, after its retirement. */
export class RemoveEndpointCommand extends ChangeCommand {
  static override paths = [['pool', 'remove-endpoint']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Removes an endpoint from a pool, with its retirement if there is one.',
    examples: [['Remove an engine', 'mimosarock pool remove-endpoint chat engine-1 --based-on 14']]
  })

  pool = Option.String({ name: 'POOL' })
  name = Option.String({ name: 'ENDPOINT' })

  /**
   * Sets the pool without the endpoint and ends its retirement.
   * @param current the newest configuration
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
