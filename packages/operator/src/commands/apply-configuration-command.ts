import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import type { OperatorClient } from '../operator-client.js'
import { parseConfiguration } from '../parse-configuration.js'

/**
 * The `configuration apply` and `configuration dry-run` commands: replace the whole configuration with that of a file,
 * or only validate the file.
 */
export class ApplyConfigurationCommand extends ChangeCommand {
  static override paths = [['configuration', 'apply'], ['configuration', 'dry-run']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Replaces the whole configuration with that of a JSON file; `dry-run` only validates the file.',
    details: 'The file contains the JSON encoding of the message Configuration in the schema file.',
    examples: [
      ['First configuration of a fleet', 'mimosarock configuration apply configuration.json --based-on 0'],
      ['Validate a file', 'mimosarock configuration dry-run configuration.json --based-on 12']
    ]
  })

  file = Option.String({ name: 'FILE' })

  /** Reads the file and returns the edit that replaces the whole configuration. */
  protected override async edits (): Promise<ConfigurationEdit[]> {
    const value = parseConfiguration(await this.readFile(this.file), this.file)
    return [create(ConfigurationEditSchema, { kind: { case: 'replaceAll', value } })]
  }

  /**
   * Sends the change; under the name `configuration dry-run` as a dry run.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    if (this.path[1] === 'dry-run') this.dryRun = true
    return await super.run(client)
  }
}
