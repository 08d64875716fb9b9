import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit, ModelPlacement } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, ModelPlacementSchema, PlacementGoal, PoolKind, PoolSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { parseChoice } from '../parse-choice.js'
import { parseNumber } from '../parse-number.js'

const KINDS = { model: PoolKind.MODEL, service: PoolKind.SERVICE }
const GOALS = { skew: PlacementGoal.SKEW, reuse: PlacementGoal.REUSE }
const DEFAULT_LOAD_MULTIPLE = 1.25

function parsePlacement (text: string): ModelPlacement {
  const separator = text.lastIndexOf('=')
  if (separator < 0) return create(ModelPlacementSchema, { model: text })
  const replicas = parseNumber('--model', text.slice(separator + 1), 0)
  return create(ModelPlacementSchema, { model: text.slice(0, separator), replicas })
}

/** The `pool set` command: adds or changes a pool; does not change its endpoints. */
export class SetPoolCommand extends ChangeCommand {
  static override paths = [['pool', 'set']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds a pool, or changes the given fields of an existing one; `pool set-endpoint` sets its endpoints.',
    examples: [['Add a pool of engines', 'mimosarock pool set chat --kind model --load-multiple 1.25 --goal skew --model small=2 --based-on 12']]
  })

  name = Option.String({ name: 'NAME' })
  kind = Option.String('--kind', { description: 'model or service.' })
  loadMultiple = Option.String('--load-multiple', { description: 'Guaranteed maximum load of an endpoint, as a multiple of the mean load.' })
  goal = Option.String('--goal', { description: 'skew or reuse: whether balanced load or reuse of context takes precedence when they conflict.' })
  queueWaitMs = Option.String('--queue-wait-ms', { description: 'Maximum wait in the queue of an endpoint, in milliseconds.' })
  contextWaitMs = Option.String('--context-wait-ms', { description: 'Maximum wait for the endpoint that has the context of a chat in its cache, in milliseconds.' })
  silenceMs = Option.String('--silence-ms', { description: 'Timeout for silence within a stream, in milliseconds; 0 selects the routers\' setting.' })
  carryContext = Option.Boolean('--carry-context', { description: 'Whether the cached context of a displaced chat may be transferred between engines.' })
  models = Option.Array('--model', { description: 'MODEL or MODEL=REPLICAS: a model that the engines serve and the number of engines that must have it loaded; may be repeated.' })

  /**
   * Returns the edit that sets the pool; fields that are not given retain their current values.
   * @param current newest configuration known to the router
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const existing = current.pools.find((pool) => pool.name === this.name)
    const kind = parseChoice('--kind', this.kind, KINDS, existing?.kind ?? PoolKind.MODEL)
    const value = create(PoolSchema, {
      name: this.name,
      kind,
      endpoints: existing?.endpoints ?? [],
      loadMultiple: parseNumber('--load-multiple', this.loadMultiple, existing?.loadMultiple ?? DEFAULT_LOAD_MULTIPLE),
      goal: parseChoice('--goal', this.goal, GOALS, existing?.goal ?? PlacementGoal.SKEW),
      queueWaitMs: parseNumber('--queue-wait-ms', this.queueWaitMs, existing?.queueWaitMs ?? 0),
      contextWaitMs: parseNumber('--context-wait-ms', this.contextWaitMs, existing?.contextWaitMs ?? 0),
      silenceMs: parseNumber('--silence-ms', this.silenceMs, existing?.silenceMs ?? 0),
      carryContext: this.carryContext ?? existing?.carryContext ?? false,
      models: this.models?.map(parsePlacement) ?? existing?.models ?? []
    })
    return [create(ConfigurationEditSchema, { kind: { case: 'setPool', value } })]
  }
}
