import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, RetirementSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'

/** The `retirement start` command: retires an endpoint according to its pool's retirement rule. */
export class StartRetirementCommand extends ChangeCommand {
  static override paths = [['retirement', 'start']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Retires an endpoint according to the rule of its pool: it gets no new requests, and those in flight finish or are resumed at other endpoints.',
    examples: [['Retire an engine', 'mimosarock retirement start chat engine-1 --reason "new driver" --based-on 12']]
  })

  pool = Option.String({ name: 'POOL' })
  endpoint = Option.String({ name: 'ENDPOINT' })
  reason = Option.String('--reason', '', { description: 'Reason, recorded in the audit trail.' })

  /** Returns the edit that sets the retirement. */
  protected override edits (): ConfigurationEdit[] {
    const value = create(RetirementSchema, { pool: this.pool, endpoint: this.endpoint, reason: this.reason })
    return [create(ConfigurationEditSchema, { kind: { case: 'setRetirement', value } })]
  }
}
