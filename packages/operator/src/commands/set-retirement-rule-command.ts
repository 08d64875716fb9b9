import { create } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, RetirementRuleSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeCommand } from '../change-command.js'
import { parseNumber } from '../parse-number.js'

/** The `retirement-rule set` command: adds or changes a pool's rule for retiring endpoints. */
export class SetRetirementRuleCommand extends ChangeCommand {
  static override paths = [['retirement-rule', 'set']]
  static override usage = Command.Usage({
    category: 'Configuration parts',
    description: 'Adds a rule for retiring endpoints of a pool, or changes the given fields of an existing one.',
    examples: [['Add a rule with a drain time of ten seconds', 'mimosarock retirement-rule set chat --pool chat --drain-ms 10000 --minimum-live 2 --based-on 12']]
  })

  name = Option.String({ name: 'NAME' })
  pool = Option.String('--pool')
  drainMs = Option.String('--drain-ms', { description: 'Drain time: time for requests in flight to finish before they are resumed at another endpoint, in milliseconds.' })
  minimumLive = Option.String('--minimum-live', { description: 'Minimum number of other live endpoints before a retirement begins.' })
  exportContext = Option.Boolean('--export-context', { description: 'Whether cached contexts are exported before the endpoint is released.' })

  /**
   * Returns the edit that sets the rule; fields that are not given retain their current values.
   * @param current newest configuration known to the router
   */
  protected override edits (current: Configuration): ConfigurationEdit[] {
    const existing = current.retirementRules.find((rule) => rule.name === this.name)
    const value = create(RetirementRuleSchema, {
      name: this.name,
      pool: this.pool ?? existing?.pool ?? '',
      drainMs: parseNumber('--drain-ms', this.drainMs, existing?.drainMs ?? 0),
      minimumLiveEndpoints: parseNumber('--minimum-live', this.minimumLive, existing?.minimumLiveEndpoints ?? 0),
      exportContext: this.exportContext ?? existing?.exportContext ?? false
    })
    return [create(ConfigurationEditSchema, { kind: { case: 'setRetirementRule', value } })]
  }
}
