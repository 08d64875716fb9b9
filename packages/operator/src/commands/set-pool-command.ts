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

/** Adds or changes a pool; its endpoints stay as they are. */
export class SetPoolCommand extends ChangeCommand {
  static override paths = [['pool', 'set']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds a pool or changes the fields that are given; endpoints are set by `pool set-endpoint`.',
    examples: [['Add a pool of engines', 'mimosarock pool set chat --kind model --load-multiple 1.25 --goal skew --model small=2 --based-on 12']]
  })

  name = Option.String({ name: 'NAME' })
  kind = Option.String('--kind', { description: 'model or service.' })
  loadMultiple = Option.String('--load-multiple', { description: 'Promised multiple of the mean load.' })
  goal = Option.String('--goal', { description: 'skew or reuse: which wins when they disagree.' })
  queueWaitMs = Option.String('--queue-wait-ms', { description: 'Longest wait in an endpoint\'s queue.' })
  contextWaitMs = Option.String('--context-wait-ms', { description: 'Longest wait for the endpoint that holds a chat\'s context.' })
  silenceMs = Option.String('--silence-ms', { description: 'Bound on silence within a stream; 0 takes the routers\' setting.' })
  carryContext = Option.Boolean('--carry-context', { description: 'Whether a displaced chat\'s cache may be carried.' })
  models = Option.Array('--model', { description: 'MODEL or MODEL=REPLICAS that the engines hold; may be repeated.' })

  /**
   * Sets the pool, with the fields of the current one where none are given.
   * @param current the newest configuration
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const old = current.pools.find((pool) => pool.name === this.name)
    const kind = parseChoice('--kind', this.kind, KINDS, old?.kind ?? PoolKind.MODEL)
    const value = create(PoolSchema, {
      name: this.name,
      kind,
      endpoints: old?.endpoints ?? [],
      loadMultiple: parseNumber('--load-multiple', this.loadMultiple, old?.loadMultiple ?? DEFAULT_LOAD_MULTIPLE),
      goal: parseChoice('--goal', this.goal, GOALS, old?.goal ?? PlacementGoal.SKEW),
      queueWaitMs: parseNumber('--queue-wait-ms', this.queueWaitMs, old?.queueWaitMs ?? 0),
      contextWaitMs: parseNumber('--context-wait-ms', this.contextWaitMs, old?.contextWaitMs ?? 0),
      silenceMs: parseNumber('--silence-ms', this.silenceMs, old?.silenceMs ?? 0),
      carryContext: this.carryContext ?? old?.carryContext ?? false,
      models: this.models?.map(parsePlacement) ?? old?.models ?? []
    })
    return [create(ConfigurationEditSchema, { kind: { case: 'setPool', value } })]
  }
}
