import { create, toJson } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseNumber } from '../parse-number.js'
import { PART_KINDS } from '../part-kinds.js'

/** The `configuration show` command: shows the whole configuration. */
export class ShowConfigurationCommand extends OperatorCommand {
  static override paths = [['configuration', 'show']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Shows the configuration at a revision, and the time since the router last confirmed that its configuration is current.',
    examples: [
      ['The newest revision', 'mimosarock configuration show'],
      ['A file for `configuration apply`', 'mimosarock configuration show --file > configuration.json']
    ]
  })

  revision = Option.String('--revision', { description: 'Revision to show; default: the newest.' })
  file = Option.Boolean('--file', false, { description: 'Prints the configuration as JSON, in the format that `configuration apply` accepts.' })

  /**
   * Queries the configuration and prints it.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const revision = BigInt(Math.trunc(parseNumber('--revision', this.revision, 0)))
    const response = await client.queries.getConfiguration({ revision })
    const configuration = response.configuration ?? create(ConfigurationSchema)
    const json = toJson(ConfigurationSchema, configuration)
    if (this.file) {
      this.context.stdout.write(`${JSON.stringify(json, undefined, 2)}\n`)
      return 0
    }
    const tables = Object.values(PART_KINDS).map((kind) => formatTable(kind.headers, kind.rows(configuration)))
    const summary = `revision ${response.revision} at offset ${response.offset}, confirmed current ${response.stalenessMs} ms ago\n`
    this.print(`${tables.join('\n')}\n${summary}`, {
      revision: Number(response.revision), offset: Number(response.offset), stalenessMs: Number(response.stalenessMs), configuration: json
    })
    return 0
  }
}
