import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, WorkspaceSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { parseNumber } from '../parse-number.js'

/** The `workspace set` command: adds or changes a workspace. */
export class SetWorkspaceCommand extends ChangeCommand {
  static override paths = [['workspace', 'set']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds a workspace, or changes the given fields of an existing one.',
    examples: [['Add a workspace', 'mimosarock workspace set alpha --priority 5 --requests-per-second 50 --based-on 12']]
  })

  name = Option.String({ name: 'NAME' })
  requestsPerSecond = Option.String('--requests-per-second', { description: 'Rate limit over the whole fleet; 0 means no limit.' })
  concurrency = Option.String('--concurrency', { description: 'Limit on requests in flight over the whole fleet; 0 means no limit.' })
  priority = Option.String('--priority', { description: 'Scheduling priority, 0 to 9; higher values are served first.' })
  weight = Option.String('--weight', { description: 'Weight relative to other workspaces of the same priority; 0 is treated as 1.' })
  models = Option.Array('--model', { description: 'Model that the workspace may use; may be repeated; without this option, every model.' })

  /**
   * Returns the edit that sets the workspace; fields that are not given retain their current values.
   * @param current newest configuration known to the router
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const existing = current.workspaces.find((workspace) => workspace.name === this.name)
    const value = create(WorkspaceSchema, {
      name: this.name,
      requestsPerSecond: parseNumber('--requests-per-second', this.requestsPerSecond, existing?.requestsPerSecond ?? 0),
      concurrency: parseNumber('--concurrency', this.concurrency, existing?.concurrency ?? 0),
      priority: parseNumber('--priority', this.priority, existing?.priority ?? 0),
      weight: parseNumber('--weight', this.weight, existing?.weight ?? 0),
      models: this.models ?? existing?.models ?? []
    })
    return [create(ConfigurationEditSchema, { kind: { case: 'setWorkspace', value } })]
  }
}
