import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, RetirementSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'

/** Retires an endpoint by the rule of its pool. */
export class StartRetirementCommand extends ChangeCommand {
  static override paths = [['retirement', 'start']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Retires an endpoint: it gets no new work, and requests in flight finish or go on elsewhere by its pool\'s rule.',
    examples: [['Retire an engine', 'mimosarock retirement start chat engine-1 --reason "new driver" --based-on 12']]
  })

  pool = Option.String({ name: 'POOL' })
  endpoint = Option.String({ name: 'ENDPOINT' })
  reason = Option.String('--reason', '', { description: 'Stands in the audit trail.' })

  /** The edit that sets the retirement. */
  protected override edits (): ConfigurationEdit[] {
    const value = create(RetirementSchema, { pool: this.pool, endpoint: this.endpoint, reason: this.reason })
    return [create(ConfigurationEditSchema, { kind: { case: 'setRetirement', value } })]
  }
}
