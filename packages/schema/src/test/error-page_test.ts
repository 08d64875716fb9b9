import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { errorPage } from '@mimosarock/schema/error-page.js'
import { httpStatusOf } from '@mimosarock/schema/http-status-of.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

test('docs/ERRORS.md equals the generated page', () => {
  const page = readFileSync(new URL('../../../../docs/ERRORS.md', import.meta.url), 'utf8')
  expect(page).toBe(errorPage())
})

test('result codes map to their HTTP status, unknown codes to 500', () => {
  expect(httpStatusOf(ResultCode.RATE_LIMITED)).toBe(429)
  expect(httpStatusOf(9_999 as ResultCode)).toBe(500)
})
