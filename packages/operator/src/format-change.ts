import type { ChangeConfigurationResponse } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { formatTable } from './format-table.js'

/**
 * Formats the result of a change as text.
 * @param response the router's response to the change
 * @param changeId id of the change, printed if its outcome is unknown
 * @param dryRun whether the change was only validated
 * @param inForce text about the routers on which the change is in force; undefined if the command did not wait
 */
export function formatChange (response: ChangeConfigurationResponse, changeId: string, dryRun: boolean, inForce?: string): string {
  if (response.code === ResultCode.OK) {
    if (dryRun) return `the change would be accepted at revision ${response.revision}\n`
    return `revision ${response.revision} at offset ${response.offset}${inForce === undefined ? '' : `, ${inForce}`}\n`
  }
  if (response.code === ResultCode.NOTHING_CHANGED) return `nothing to change at revision ${response.revision}\n`
  const name = Object.entries(ResultCode).find(([, code]) => code === response.code)?.[0] ?? ''
  const lines = [`rejected: ${response.code} ${name}: ${response.detail}\n`]
  if (response.code === ResultCode.CHANGE_OUTCOME_UNKNOWN) lines.push(`change id ${changeId}\n`)
  if (response.problems.length > 0) {
    lines.push(formatTable(['FIELD', 'VALUE', 'BOUND', 'CODE'],
      response.problems.map((problem) => [problem.field, problem.value, problem.bound, String(problem.code)])))
  }
  if (response.conflicting.length > 0) {
    lines.push(formatTable(['CHANGED SINCE', 'FROM', 'TO'],
      response.conflicting.map((difference) => [difference.subject, difference.before || '-', difference.after || '-'])))
  }
  return lines.join('')
}
