import { Command, Option } from 'clipanion'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseNumber } from '../parse-number.js'

/** The `configuration revisions` command: lists the revisions that can be compared and rolled back to. */
export class ListRevisionsCommand extends OperatorCommand {
  static override paths = [['configuration', 'revisions']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Lists the revisions in the history, newest first.',
    examples: [['The last ten revisions', 'mimosarock configuration revisions --limit 10']]
  })

  limit = Option.String('--limit', { description: 'Maximum number of revisions; default 20.' })

  /**
   * Queries the revisions and prints them.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const { revisions } = await client.queries.listRevisions({ limit: parseNumber('--limit', this.limit, 20) })
    const formatTime = (ms: bigint): string => new Date(Number(ms)).toISOString()
    const rows = revisions.map((summary) => [String(summary.revision), String(summary.offset), formatTime(summary.writtenAtMs),
      summary.actor?.name ?? '', summary.actor?.source ?? '', summary.changeId])
    this.print(formatTable(['REVISION', 'OFFSET', 'TIME', 'OPERATOR', 'FROM', 'CHANGE ID'], rows),
      rows.map(([revision, offset, at, operator, source, changeId]) => ({ revision: Number(revision), offset: Number(offset), at, operator, source, changeId })))
    return 0
  }
}
