import { readFileSync } from 'node:fs'
import { capacityTables } from '@mimosarock/bench/capacity/capacity-tables.js'
import { replaceTables } from '@mimosarock/bench/capacity/replace-tables.js'
import { expect, test } from 'vitest'

const docs = new URL('../../../../docs/', import.meta.url)

test('the tables of the capacity page match the committed result', () => {
  const page = readFileSync(new URL('CAPACITY.md', docs), 'utf8')
  const result = JSON.parse(readFileSync(new URL('capacity-result.json', docs), 'utf8'))
  expect(replaceTables(page, capacityTables(result))).toBe(page)
})
