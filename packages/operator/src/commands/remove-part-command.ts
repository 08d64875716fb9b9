import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { PART_KINDS } from '../part-kinds.js'

/** The `remove` command of each kind of configuration part, and `retirement end`. */
export class RemovePartCommand extends ChangeCommand {
  static override paths = [...Object.keys(PART_KINDS).filter((kind) => kind !== 'retirement').map((kind) => [kind, 'remove']), ['retirement', 'end']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Removes a workspace, pool, route or retirement rule, or ends a retirement.',
    examples: [
      ['Remove a route', 'mimosarock route remove gifts --based-on 12'],
      ['Return an endpoint to service', 'mimosarock retirement end chat/engine-1 --based-on 13']
    ]
  })

  name = Option.String({ name: 'NAME' })

  /** Returns the edit that removes the part. */
  protected override edits (): ConfigurationEdit[] {
    const kind = PART_KINDS[this.path[0] ?? '']
    return kind === undefined ? [] : [create(ConfigurationEditSchema, { kind: kind.remove(this.name) })]
  }
}
