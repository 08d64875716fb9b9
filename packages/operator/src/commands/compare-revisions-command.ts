import { Command, Option } from 'clipanion'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseNumber } from '../parse-number.js'

/** The `configuration compare` command: lists the differences between two revisions. */
export class CompareRevisionsCommand extends OperatorCommand {
  static override paths = [['configuration', 'compare']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Lists the configuration parts that differ between two revisions; without TO, between FROM and the newest.',
    examples: [['Show the effect of the last change', 'mimosarock configuration compare 11 12']]
  })

  from = Option.String({ name: 'FROM' })
  to = Option.String({ name: 'TO', required: false })

  /**
   * Queries the differences and prints them.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const { differences } = await client.queries.compareRevisions({
      fromRevision: BigInt(Math.trunc(parseNumber('FROM', this.from, 0))),
      toRevision: BigInt(Math.trunc(parseNumber('TO', this.to, 0)))
    })
    const rows = differences.map(({ subject, before, after }) => [subject, before || '-', after || '-'])
    this.print(formatTable(['PART', 'FROM', 'TO'], rows), differences.map(({ subject, before, after }) => ({ subject, before, after })))
    return 0
  }
}
