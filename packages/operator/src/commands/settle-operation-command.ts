import { Command, Option } from 'clipanion'
import { OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { ResultCode } from '@mimosarock/schema/result-code.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseChoice } from '../parse-choice.js'

const STATES = { ran: OperationState.ANSWERED, 'not-run': OperationState.NOT_RUN }

/** The `operation settle` command: settles an operation in progress or in doubt. */
export class SettleOperationCommand extends OperatorCommand {
  static override paths = [['operation', 'settle']]
  static override usage = Command.Usage({
    category: 'Operations',
    description: 'Settles an operation in progress or in doubt as `ran` or `not-run`, after the operator has checked the service itself.',
    details: 'An operation settled as `not-run` may run again under the same key.',
    examples: [['Settle as not run', 'mimosarock operation settle alpha 0198c5d0-0000-7000-8000-000000000001 not-run --reason "no entry in the ledger"']]
  })

  workspace = Option.String({ name: 'WORKSPACE' })
  key = Option.String({ name: 'KEY' })
  state = Option.String({ name: 'STATE' })
  reason = Option.String('--reason', { required: true, description: 'Reason, recorded in the audit trail.' })

  /**
   * Sends the settlement and prints its offset in the log.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const response = await client.commands.settleOperation({
      workspace: this.workspace,
      key: this.key,
      state: parseChoice('STATE', this.state, STATES, OperationState.UNSPECIFIED),
      reason: this.reason
    })
    if (response.code !== 0) throw new MimosarockError(response.code as ResultCode, response.detail)
    this.print(`settled at offset ${response.offset}\n`, { offset: Number(response.offset) })
    return 0
  }
}
