import { RESULT_CODE_DETAILS } from './result-code-details.js'
import { ResultCode } from './result-code.js'

const HEADER = `# Errors

Every error has a numbered result code. Callers receive it as \`code\` in a problem+json response (RFC 9457), together
with \`run\`: \`not-run\`, \`unknown\` or \`ran\`. Operators receive it in the response to a command. This page is printed
by \`mimosarock-router errors\`.

| number | name | meaning | HTTP status | ran | what to do |
| --- | --- | --- | --- | --- | --- |
`

/** Returns the text of the page docs/ERRORS.md, which lists all result codes. */
export function errorPage (): string {
  const names = Object.keys(ResultCode) as Array<keyof typeof ResultCode>
  const rows = names.map((name) => {
    const detail = RESULT_CODE_DETAILS[name]
    return `| ${ResultCode[name]} | ${name} | ${detail.meaning} | ${detail.httpStatus} | ${detail.ran} | ${detail.action} |\n`
  })
  return HEADER + rows.join('')
}
