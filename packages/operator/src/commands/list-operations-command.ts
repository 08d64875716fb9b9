import { toJson } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import { OperationRecordSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseChoice } from '../parse-choice.js'
import { parseNumber } from '../parse-number.js'

const STATES = {
  'in-progress': OperationState.IN_PROGRESS,
  answered: OperationState.ANSWERED,
  'not-run': OperationState.NOT_RUN,
  'in-doubt': OperationState.IN_DOUBT
}

/** The `operation list` command: lists operations, i.e. calls that may run at most once. */
export class ListOperationsCommand extends OperatorCommand {
  static override paths = [['operation', 'list']]
  static override usage = Command.Usage({
    category: 'Operations',
    description: 'Lists operations (calls that may run at most once); by default those in progress or in doubt.',
    examples: [['Operations that an operator has to settle', 'mimosarock operation list --state in-doubt']]
  })

  workspace = Option.String('--workspace', '')
  state = Option.String('--state', { description: Object.keys(STATES).join(', ') })
  limit = Option.String('--limit', { description: 'Maximum number of operations; default 50.' })

  /**
   * Queries the operations and prints them.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const { operations } = await client.queries.listOperations({
      workspace: this.workspace,
      state: parseChoice('--state', this.state, STATES, OperationState.UNSPECIFIED),
      limit: parseNumber('--limit', this.limit, 50)
    })
    const rows = operations.map((operation) => [operation.workspace, operation.key, operation.route,
      OperationState[operation.state].toLowerCase().replace('_', '-'), new Date(Number(operation.intentAtMs)).toISOString(), operation.routerId])
    this.print(formatTable(['WORKSPACE', 'KEY', 'ROUTE', 'STATE', 'SINCE', 'ROUTER'], rows),
      operations.map((operation) => toJson(OperationRecordSchema, operation)))
    return 0
  }
}
