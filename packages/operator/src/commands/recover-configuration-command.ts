import { Command, Option } from 'clipanion'
import type { ChangeConfigurationResponse, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import type { OperatorClient } from '../operator-client.js'
import { parseConfiguration } from '../parse-configuration.js'

/** Submits the whole configuration to a fleet that has lost it. */
export class RecoverConfigurationCommand extends ChangeCommand {
  static override paths = [['configuration', 'recover']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Submits the whole configuration to a fleet that has lost it.',
    details: 'Only taken when no router has a state and the log holds neither all records nor a checkpoint. `--based-on` is the highest revision that any operator has seen.',
    examples: [['After an outage that outlasted retention', 'mimosarock configuration recover configuration.json --based-on 12']]
  })

  file = Option.String({ name: 'FILE' })

  /** A recovery has no edits. */
  protected override edits (): ConfigurationEdit[] {
    return []
  }

  /**
   * Sends the configuration.
   * @param client clients of the router's services
   * @param _changeId not used
   * @param lastKnownRevision highest revision that any operator has seen
   */
  protected override async send (client: OperatorClient, _changeId: string, lastKnownRevision: bigint): Promise<ChangeConfigurationResponse> {
    const configuration = parseConfiguration(await this.readFile(this.file), this.file)
    return await client.commands.recoverConfiguration({ lastKnownRevision, configuration })
  }
}
