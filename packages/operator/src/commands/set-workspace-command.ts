import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, WorkspaceSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { parseNumber } from '../parse-number.js'

/** Adds or changes a workspace. */
export class SetWorkspaceCommand extends ChangeCommand {
  static override paths = [['workspace', 'set']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds a workspace or changes the fields that are given.',
    examples: [['Add a workspace', 'mimosarock workspace set alpha --priority 5 --requests-per-second 50 --based-on 12']]
  })

  name = Option.String({ name: 'NAME' })
  requestsPerSecond = Option.String('--requests-per-second', { description: 'Limit over the whole fleet; 0 means none.' })
  concurrency = Option.String('--concurrency', { description: 'Requests in flight at once over the whole fleet; 0 means no limit.' })
  priority = Option.String('--priority', { description: '0 to 9, higher first.' })
  weight = Option.String('--weight', { description: 'Share among workspaces of the same priority.' })
  models = Option.Array('--model', { description: 'Model that the workspace may ask for; may be repeated; none means every model.' })

  /**
   * Sets the workspace, with the fields of the current one where none are given.
   * @param current the newest configuration
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const old = current.workspaces.find((workspace) => workspace.name === this.name)
    const value = create(WorkspaceSchema, {
      name: this.name,
      requestsPerSecond: parseNumber('--requests-per-second', this.requestsPerSecond, old?.requestsPerSecond ?? 0),
      concurrency: parseNumber('--concurrency', this.concurrency, old?.concurrency ?? 0),
      priority: parseNumber('--priority', this.priority, old?.priority ?? 0),
      weight: parseNumber('--weight', this.weight, old?.weight ?? 0),
      models: this.models ?? old?.models ?? []
    })
    return [create(ConfigurationEditSchema, { kind: { case: 'setWorkspace', value } })]
  }
}
