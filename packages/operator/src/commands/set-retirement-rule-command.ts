import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, RetirementRuleSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { parseNumber } from '../parse-number.js'

/** Adds or changes a pool's rule for retiring endpoints. */
export class SetRetirementRuleCommand extends ChangeCommand {
  static override paths = [['retirement-rule', 'set']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds a rule for retiring endpoints of a pool or changes the fields that are given.',
    examples: [['Ten seconds to drain', 'mimosarock retirement-rule set chat --pool chat --drain-ms 10000 --minimum-live 2 --based-on 12']]
  })

  name = Option.String({ name: 'NAME' })
  pool = Option.String('--pool')
  drainMs = Option.String('--drain-ms', { description: 'Time given to requests in flight before they are resumed elsewhere.' })
  minimumLive = Option.String('--minimum-live', { description: 'Other endpoints that must be live before one is retired.' })
  exportContext = Option.Boolean('--export-context', { description: 'Whether caches are exported before the endpoint is released.' })

  /**
   * Sets the rule, with the fields of the current one where none are given.
   * @param current the newest configuration
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const old = current.retirementRules.find((rule) => rule.name === this.name)
    const value = create(RetirementRuleSchema, {
      name: this.name,
      pool: this.pool ?? old?.pool ?? '',
      drainMs: parseNumber('--drain-ms', this.drainMs, old?.drainMs ?? 0),
      minimumLiveEndpoints: parseNumber('--minimum-live', this.minimumLive, old?.minimumLiveEndpoints ?? 0),
      exportContext: this.exportContext ?? old?.exportContext ?? false
    })
    return [create(ConfigurationEditSchema, { kind: { case: 'setRetirementRule', value } })]
  }
}
