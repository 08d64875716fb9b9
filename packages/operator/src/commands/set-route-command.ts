import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, RouteSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { parseNumber } from '../parse-number.js'

const DEFAULT_DEADLINE_MS = 60_000

/** Adds or changes a route. */
export class SetRouteCommand extends ChangeCommand {
  static override paths = [['route', 'set']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds a route or changes the fields that are given.',
    examples: [
      ['A model', 'mimosarock route set small --model small --pool chat --repeatable --based-on 12'],
      ['Payments, which may not be repeated', 'mimosarock route set payments --path /v1 --pool gifts --no-repeatable --status-path /v1/runs/{key} --based-on 13']
    ]
  })

  name = Option.String({ name: 'NAME' })
  model = Option.String('--model,--path', { description: 'Model of chats, or path prefix of a plain service.' })
  pool = Option.String('--pool')
  repeatable = Option.Boolean('--repeatable', { description: 'Whether a call may be repeated without effect.' })
  deadlineMs = Option.String('--deadline-ms', { description: `Longest time for the whole call; default ${DEFAULT_DEADLINE_MS}.` })
  endpointRefusesRepeats = Option.Boolean('--endpoint-refuses-repeats', { description: 'Whether the endpoint refuses a repeated Idempotency-Key.' })
  statusPath = Option.String('--status-path', { description: 'Path that tells whether a key ran, with {key} in it.' })

  /**
   * Sets the route, with the fields of the current one where none are given.
   * @param current the newest configuration
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const old = current.routes.find((route) => route.name === this.name)
    const value = create(RouteSchema, {
      name: this.name,
      model: this.model ?? old?.model ?? '',
      pool: this.pool ?? old?.pool ?? '',
      repeatable: this.repeatable ?? old?.repeatable ?? false,
      deadlineMs: parseNumber('--deadline-ms', this.deadlineMs, old?.deadlineMs ?? DEFAULT_DEADLINE_MS),
      endpointRefusesRepeats: this.endpointRefusesRepeats ?? old?.endpointRefusesRepeats ?? false,
      statusPath: this.statusPath ?? old?.statusPath ?? ''
    })
    return [create(ConfigurationEditSchema, { kind: { case: 'setRoute', value } })]
  }
}
