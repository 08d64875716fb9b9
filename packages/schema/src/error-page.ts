import { RESULT_CODE_DETAILS } from './result-code-details.js'
import { ResultCode } from './result-code.js'

const HEADER = `# Errors

Every refusal carries a number. Callers get it as \`code\` in a problem+json answer (RFC 9457), together with
\`run\`: \`not-run\`, \`unknown\` or \`ran\`. Operators get it in each command's answer. This page is printed by
\`mimosarock-router errors\`.

| number | name | meaning | HTTP status | ran | what to do |
| --- | --- | --- | --- | --- | --- |
`

/** The page docs/ERRORS.md. */
export function errorPage (): string {
  const names = Object.keys(ResultCode) as Array<keyof typeof ResultCode>
  const rows = names.map((name) => {
    const detail = RESULT_CODE_DETAILS[name]
    return `| ${ResultCode[name]} | ${name} | ${detail.meaning} | ${detail.httpStatus} | ${detail.ran} | ${detail.action} |\n`
  })
  return HEADER + rows.join('')
}
