import { toJson } from '@bufbuild/protobuf'
import { Command, Option } from 'clipanion'
import { AuditEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseNumber } from '../parse-number.js'

const MAXIMUM_CELL_LENGTH = 60

function parseTime (option: string, text: string | undefined): bigint {
  if (text === undefined) return 0n
  const ms = Date.parse(text)
  if (Number.isFinite(ms)) return BigInt(ms)
  throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `${option} ${text}: not an ISO 8601 time such as 2026-01-31T08:00:00Z`, { field: option })
}

function truncate (text: string): string {
  return text.length <= MAXIMUM_CELL_LENGTH ? text : `${text.slice(0, MAXIMUM_CELL_LENGTH)}…`
}

/** The `audit list` command: queries the audit trail. */
export class ListAuditCommand extends OperatorCommand {
  static override paths = [['audit', 'list']]
  static override usage = Command.Usage({
    category: 'Audit',
    description: 'Lists audit entries, newest first: who changed what, when, from which address and with which result.',
    examples: [
      ['Changes to a workspace overnight', 'mimosarock audit list --workspace alpha --since 2026-01-30T18:00:00Z'],
      ['Changes by one operator', 'mimosarock audit list --operator ann --json']
    ]
  })

  workspace = Option.String('--workspace', '')
  operator = Option.String('--operator', '')
  since = Option.String('--since', { description: 'Earliest time, in ISO 8601 format.' })
  until = Option.String('--until', { description: 'Latest time, in ISO 8601 format.' })
  limit = Option.String('--limit', { description: 'Maximum number of entries; default 50.' })

  /**
   * Queries the audit entries and prints them.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const { entries } = await client.queries.listAudit({
      workspace: this.workspace,
      actor: this.operator,
      fromMs: parseTime('--since', this.since),
      untilMs: parseTime('--until', this.until),
      limit: parseNumber('--limit', this.limit, 50)
    })
    const rows = entries.map((entry) => [new Date(Number(entry.atMs)).toISOString(), entry.actor?.name ?? '', entry.actor?.source ?? '',
      entry.action, entry.subject, truncate(entry.before), truncate(entry.after), String(entry.code), String(entry.revision), String(entry.offset)])
    const headers = ['TIME', 'OPERATOR', 'FROM', 'ACTION', 'SUBJECT', 'BEFORE', 'AFTER', 'CODE', 'REVISION', 'OFFSET']
    this.print(formatTable(headers, rows), entries.map((entry) => toJson(AuditEntrySchema, entry)))
    return 0
  }
}
