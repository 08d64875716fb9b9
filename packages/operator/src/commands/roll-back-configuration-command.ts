import { Command, Option } from 'clipanion'
import type { ChangeConfigurationResponse, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ChangeCommand } from '../change-command.js'
import type { OperatorClient } from '../operator-client.js'
import { parseNumber } from '../parse-number.js'

/** The `configuration rollback` command: creates a new revision with the content of an earlier one. */
export class RollBackConfigurationCommand extends ChangeCommand {
  static override paths = [['configuration', 'rollback']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Creates a new revision with the content of an earlier one.',
    examples: [['Roll back to revision 9', 'mimosarock configuration rollback 9 --based-on 12']]
  })

  revision = Option.String({ name: 'REVISION' })

  /** Returns no edits: a rollback names an earlier revision instead. */
  protected override edits (): ConfigurationEdit[] {
    return []
  }

  /**
   * Sends the rollback.
   * @param client clients of the router's operator services
   * @param changeId id that makes a repeated rollback idempotent
   * @param basedOnRevision revision that the rollback is based on
   * @throws {MimosarockError} COMMAND_LINE_INVALID if a dry run is requested, which rollbacks do not support
   */
  protected override async send (client: OperatorClient, changeId: string, basedOnRevision: bigint): Promise<ChangeConfigurationResponse> {
    if (this.dryRun) {
      throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, '--dry-run is not supported by rollback; use `configuration compare` instead', { field: '--dry-run' })
    }
    const rollbackToRevision = BigInt(Math.trunc(parseNumber('REVISION', this.revision, 0)))
    return await client.commands.rollBackConfiguration({ changeId, basedOnRevision, rollbackToRevision })
  }
}
