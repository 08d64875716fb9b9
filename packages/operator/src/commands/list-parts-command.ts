import { create } from '@bufbuild/protobuf'
import { Command } from 'clipanion'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { PART_KINDS } from '../part-kinds.js'

/** The `list` command of each kind of configuration part. */
export class ListPartsCommand extends OperatorCommand {
  static override paths = Object.keys(PART_KINDS).map((kind) => [kind, 'list'])
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Lists workspaces, pools, routes, retirement rules or retirements.',
    examples: [['List the workspaces', 'mimosarock workspace list'], ['List the pools as JSON', 'mimosarock pool list --json']]
  })

  /**
   * Queries the configuration and prints the parts of one kind with the revision of the configuration.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const { configuration = create(ConfigurationSchema), revision } = await client.queries.getConfiguration({})
    const kind = PART_KINDS[this.path[0] ?? '']
    if (kind === undefined) return 1
    const table = formatTable(kind.headers, kind.rows(configuration))
    this.print(`${table}revision ${revision}\n`, { revision: Number(revision), parts: kind.json(configuration) })
    return 0
  }
}
