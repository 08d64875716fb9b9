import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import type { OperatorClient } from '../operator-client.js'
import { parseConfiguration } from '../parse-configuration.js'

/** Replaces the whole configuration by a file's. */
export class ApplyConfigurationCommand extends ChangeCommand {
  static override paths = [['configuration', 'apply'], ['configuration', 'dry-run']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Replaces the whole configuration by that of a JSON file; `dry-run` only tells what would be refused.',
    details: 'The file has the JSON form of the message Configuration in the schema file.',
    examples: [
      ['First configuration of a fleet', 'mimosarock configuration apply configuration.json --based-on 0'],
      ['Validate a file', 'mimosarock configuration dry-run configuration.json --based-on 12']
    ]
  })

  file = Option.String({ name: 'FILE' })

  /** The edit that replaces everything. */
  protected override async edits (): Promise<ConfigurationEdit[]> {
    const value = parseConfiguration(await this.readFile(this.file), this.file)
    return [create(ConfigurationEditSchema, { kind: { case: 'replaceAll', value } })]
  }

  /**
   * Sends the change, or only tries it.
   * @param client clients of the router's services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    if (this.path[1] === 'dry-run') this.dryRun = true
    return await super.run(client)
  }
}
