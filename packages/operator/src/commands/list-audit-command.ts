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
  throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `${option} ${text}: not a time such as 2026-01-31T08:00:00Z`, { field: option })
}

function shorten (text: string): string {
  return text.length <= MAXIMUM_CELL_LENGTH ? text : `${text.slice(0, MAXIMUM_CELL_LENGTH)}…`
}

/** Queries the audit trail. */
export class ListAuditCommand extends OperatorCommand {
  static override paths = [['audit', 'list']]
  static override usage = Command.Usage({
    category: 'Audit',
    description: 'Lists who changed what, when, from where and with which result, newest first.',
    examples: [
      ['What happened to a workspace overnight', 'mimosarock audit list --workspace alpha --since 2026-01-30T18:00:00Z'],
      ['What one operator did', 'mimosarock audit list --operator ann --json']
    ]
  })

  workspace = Option.String('--workspace', '')
  operator = Option.String('--operator', '')
  since = Option.String('--since', { description: 'Earliest time.' })
  until = Option.String('--until', { description: 'Latest time.' })
  limit = Option.String('--limit', { description: 'Most entries; default 50.' })

  /**
   * Reads the entries and prints them.
   * @param client clients of the router's services
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
      entry.action, entry.subject, shorten(entry.before), shorten(entry.after), String(entry.code), String(entry.revision), String(entry.offset)])
    const headers = ['TIME', 'WHO', 'FROM', 'ACTION', 'SUBJECT', 'BEFORE', 'AFTER', 'CODE', 'REVISION', 'OFFSET']
    this.print(formatTable(headers, rows), entries.map((entry) => toJson(AuditEntrySchema, entry)))
    return 0
  }
}
