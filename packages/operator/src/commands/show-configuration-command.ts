import { create, toJson } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseNumber } from '../parse-number.js'
import { PART_KINDS } from '../part-kinds.js'

/** Shows the whole configuration. */
export class ShowConfigurationCommand extends OperatorCommand {
  static override paths = [['configuration', 'show']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Shows the configuration at a revision, and how old the router\'s knowledge is.',
    examples: [
      ['The newest', 'mimosarock configuration show'],
      ['A file for `configuration apply`', 'mimosarock configuration show --file > configuration.json']
    ]
  })

  revision = Option.String('--revision', { description: 'Default: the newest.' })
  file = Option.Boolean('--file', false, { description: 'Prints the JSON that `configuration apply` takes.' })

  /**
   * Reads the configuration and prints it.
   * @param client clients of the router's services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const revision = BigInt(Math.trunc(parseNumber('--revision', this.revision, 0)))
    const answer = await client.queries.getConfiguration({ revision })
    const configuration = answer.configuration ?? create(ConfigurationSchema)
    const json = toJson(ConfigurationSchema, configuration)
    if (this.file) {
      this.context.stdout.write(`${JSON.stringify(json, undefined, 2)}\n`)
      return 0
    }
    const tables = Object.values(PART_KINDS).map((kind) => formatTable(kind.headers, kind.rows(configuration)))
    const summary = `revision ${answer.revision} at offset ${answer.offset}, known current ${answer.stalenessMs} ms ago\n`
    this.print(`${tables.join('\n')}\n${summary}`, {
      revision: Number(answer.revision), offset: Number(answer.offset), stalenessMs: Number(answer.stalenessMs), configuration: json
    })
    return 0
  }
}
