import { toJson } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import { OperationRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'

/** The `operation show` command: shows one operation, i.e. a call that may run at most once. */
export class ShowOperationCommand extends OperatorCommand {
  static override paths = [['operation', 'show']]
  static override usage = Command.Usage({
    category: 'Operations',
    description: 'Shows the record of one operation (a call that may run at most once).',
    examples: [['By workspace and key', 'mimosarock operation show alpha 0198c5d0-0000-7000-8000-000000000001']]
  })

  workspace = Option.String({ name: 'WORKSPACE' })
  key = Option.String({ name: 'KEY' })

  /**
   * Queries the operation and prints its record as JSON.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const { operation } = await client.queries.getOperation({ workspace: this.workspace, key: this.key })
    const json = operation === undefined ? {} : toJson(OperationRecordSchema, operation)
    this.print(`${JSON.stringify(json, undefined, 2)}\n`, json)
    return 0
  }
}
