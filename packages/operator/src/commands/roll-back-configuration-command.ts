import { Command, Option } from 'clipanion'
import type { ChangeConfigurationResponse, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ChangeCommand } from '../change-command.js'
import type { OperatorClient } from '../operator-client.js'
import { parseNumber } from '../parse-number.js'

/** Makes the content of an earlier revision the newest one. */
export class RollBackConfigurationCommand extends ChangeCommand {
  static override paths = [['configuration', 'rollback']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Makes the content of an earlier revision a new revision.',
    examples: [['Back to revision 9', 'mimosarock configuration rollback 9 --based-on 12']]
  })

  revision = Option.String({ name: 'REVISION' })

  /** A rollback has no edits. */
  protected override edits (): ConfigurationEdit[] {
    return []
  }

  /**
   * Sends the rollback.
   * @param client clients of the router's services
   * @param changeId id of the change
   * @param basedOnRevision revision that it is based on
   */
  protected override async send (client: OperatorClient, changeId: string, basedOnRevision: bigint): Promise<ChangeConfigurationResponse> {
    if (this.dryRun) {
      throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, '--dry-run does not go with rollback; use `configuration compare`', { field: '--dry-run' })
    }
    const rollbackToRevision = BigInt(Math.trunc(parseNumber('REVISION', this.revision, 0)))
    return await client.commands.rollBackConfiguration({ changeId, basedOnRevision, rollbackToRevision })
  }
}
