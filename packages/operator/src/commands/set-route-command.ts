import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, RouteSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { parseNumber } from '../parse-number.js'

const DEFAULT_DEADLINE_MS = 60_000

/** The `route set` command: adds or changes a route. */
export class SetRouteCommand extends ChangeCommand {
  static override paths = [['route', 'set']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds a route, or changes the given fields of an existing one.',
    examples: [
      ['Add a route for a model', 'mimosarock route set small --model small --pool chat --repeatable --based-on 12'],
      ['Add a route for payments, which may run at most once', 'mimosarock route set payments --path /v1 --pool gifts --no-repeatable --status-path /v1/runs/{key} --based-on 13']
    ]
  })

  name = Option.String({ name: 'NAME' })
  model = Option.String('--model,--path', { description: 'Model for a route of chats, or path prefix for a plain service.' })
  pool = Option.String('--pool')
  repeatable = Option.Boolean('--repeatable', { description: 'Whether calls are idempotent and may be repeated.' })
  deadlineMs = Option.String('--deadline-ms', { description: `Maximum time for the whole call, in milliseconds; default ${DEFAULT_DEADLINE_MS}.` })
  endpointRefusesRepeats = Option.Boolean('--endpoint-refuses-repeats', { description: 'Whether the endpoint itself rejects a repeated Idempotency-Key.' })
  statusPath = Option.String('--status-path', { description: 'Path of the status call that reports whether the call with a key ran; contains the placeholder {key}.' })

  /**
   * Returns the edit that sets the route; fields that are not given retain their current values.
   * @param current newest configuration known to the router
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const existing = current.routes.find((route) => route.name === this.name)
    const value = create(RouteSchema, {
      name: this.name,
      model: this.model ?? existing?.model ?? '',
      pool: this.pool ?? existing?.pool ?? '',
      repeatable: this.repeatable ?? existing?.repeatable ?? false,
      deadlineMs: parseNumber('--deadline-ms', this.deadlineMs, existing?.deadlineMs ?? DEFAULT_DEADLINE_MS),
      endpointRefusesRepeats: this.endpointRefusesRepeats ?? existing?.endpointRefusesRepeats ?? false,
      statusPath: this.statusPath ?? existing?.statusPath ?? ''
    })
    return [create(ConfigurationEditSchema, { kind: { case: 'setRoute', value } })]
  }
}
