import { expect, test } from 'vitest'
import { ResultCode } from '@mimosarock/schema/result-code.js'

test('result codes are unique', () => {
  const codes = Object.values(ResultCode)
  expect(new Set(codes).size).toBe(codes.length)
})
