import { clone, create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, EndpointSchema, PoolSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { findPool } from '../find-pool.js'
import { parseNumber } from '../parse-number.js'

/** The `pool set-endpoint` command: adds or changes an endpoint of a pool. */
export class SetEndpointCommand extends ChangeCommand {
  static override paths = [['pool', 'set-endpoint']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds an endpoint to a pool, or changes the given fields of an existing one.',
    examples: [['Add an engine', 'mimosarock pool set-endpoint chat engine-1 --address 10.0.0.7:8000 --availability-zone a --capacity 16 --based-on 12']]
  })

  pool = Option.String({ name: 'POOL' })
  name = Option.String({ name: 'ENDPOINT' })
  address = Option.String('--address', { description: 'IP address and port.' })
  availabilityZone = Option.String('--availability-zone')
  capacity = Option.String('--capacity', { description: 'Number of requests that the endpoint runs concurrently without queueing.' })
  checksFencing = Option.Boolean('--checks-fencing', { description: 'Whether the endpoint rejects orders with an outdated fencing number.' })

  /**
   * Returns the edit that sets the pool with the endpoint added or replaced.
   * @param current newest configuration known to the router
   * @throws {MimosarockError} CONFIGURATION_REFERENCE_UNKNOWN if the pool does not exist
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const value = clone(PoolSchema, findPool(current, this.pool))
    const index = value.endpoints.findIndex((endpoint) => endpoint.name === this.name)
    const existing = value.endpoints[index]
    const endpoint = create(EndpointSchema, {
      name: this.name,
      address: this.address ?? existing?.address ?? '',
      availabilityZone: this.availabilityZone ?? existing?.availabilityZone ?? '',
      capacity: parseNumber('--capacity', this.capacity, existing?.capacity ?? 1),
      checksFencing: this.checksFencing ?? existing?.checksFencing ?? false
    })
    if (index < 0) value.endpoints.push(endpoint)
    else value.endpoints[index] = endpoint
    return [create(ConfigurationEditSchema, { kind: { case: 'setPool', value } })]
  }
}
