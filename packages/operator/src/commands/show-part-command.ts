import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { PART_KINDS } from '../part-kinds.js'

/** The `show` command of each kind of configuration part: shows one part with all its fields. */
export class ShowPartCommand extends OperatorCommand {
  static override paths = Object.keys(PART_KINDS).map((kind) => [kind, 'show'])
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Shows one workspace, pool, route, retirement rule or retirement.',
    examples: [['Show a pool with its endpoints', 'mimosarock pool show chat']]
  })

  name = Option.String({ name: 'NAME' })

  /**
   * Queries the configuration and prints the part.
   * @param client clients of the router's operator services
   * @throws {MimosarockError} CONFIGURATION_REFERENCE_UNKNOWN if there is no part of this name
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const { configuration = create(ConfigurationSchema), revision } = await client.queries.getConfiguration({})
    const kind = PART_KINDS[this.path[0] ?? '']
    const index = kind?.rows(configuration).findIndex((row) => row[0] === this.name) ?? -1
    const part = kind?.json(configuration)[index]
    if (part === undefined) {
      throw new MimosarockError(ResultCode.CONFIGURATION_REFERENCE_UNKNOWN, `there is no ${this.path[0]} ${this.name}`, { field: 'NAME' })
    }
    this.print(`${JSON.stringify(part, undefined, 2)}\nrevision ${revision}\n`, { revision: Number(revision), part })
    return 0
  }
}
