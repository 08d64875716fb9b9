import { Command, Option } from 'clipanion'
import type { ChangeConfigurationResponse, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import type { OperatorClient } from '../operator-client.js'
import { parseConfiguration } from '../parse-configuration.js'

/** The `configuration recover` command: submits the whole configuration to a fleet that has lost it. */
export class RecoverConfigurationCommand extends ChangeCommand {
  static override paths = [['configuration', 'recover']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Submits the whole configuration to a fleet that has lost it.',
    details: 'Accepted only if no router has a configuration and the log contains neither all records nor a checkpoint. `--based-on` is the highest revision that any operator has seen.',
    examples: [['Recover after an outage longer than the retention time of the log', 'mimosarock configuration recover configuration.json --based-on 12']]
  })

  file = Option.String({ name: 'FILE' })

  /** Returns no edits: a recovery submits a whole configuration. */
  protected override edits (): ConfigurationEdit[] {
    return []
  }

  /**
   * Sends the configuration of the file.
   * @param client clients of the router's operator services
   * @param _changeId unused, since a recovery has no change id
   * @param lastKnownRevision highest revision that any operator has seen
   */
  protected override async send (client: OperatorClient, _changeId: string, lastKnownRevision: bigint): Promise<ChangeConfigurationResponse> {
    const configuration = parseConfiguration(await this.readFile(this.file), this.file)
    return await client.commands.recoverConfiguration({ lastKnownRevision, configuration })
  }
}
