import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { PART_KINDS } from '../part-kinds.js'

/** Removes one part. */
export class RemovePartCommand extends ChangeCommand {
  static override paths = [...Object.keys(PART_KINDS).filter((kind) => kind !== 'retirement').map((kind) => [kind, 'remove']), ['retirement', 'end']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Removes a workspace, pool, route or retirement rule, or ends a retirement.',
    examples: [
      ['Remove a route', 'mimosarock route remove gifts --based-on 12'],
      ['Give an endpoint work again', 'mimosarock retirement end chat/engine-1 --based-on 13']
    ]
  })

  name = Option.String({ name: 'NAME' })

  /** The edit that removes the part. */
  protected override edits (): ConfigurationEdit[] {
    const kind = PART_KINDS[this.path[0] ?? '']
    return kind === undefined ? [] : [create(ConfigurationEditSchema, { kind: kind.remove(this.name) })]
  }
}
