import fc from 'fast-check'
import { expect, test } from 'vitest'
import { decodeLoads } from '@mimosarock/gateway/membership/decode-loads.js'
import { encodeLoads } from '@mimosarock/gateway/membership/encode-loads.js'

test('counts of any size are restored for their endpoints', () => {
  fc.assert(fc.property(fc.array(fc.nat(65_535)), (counts) => {
    const ids = counts.map((_, index) => `e${index}`)
    const expected = Object.fromEntries(counts.flatMap((count, index) => count > 0 ? [[`e${index}`, count]] : []))
    expect(decodeLoads(encodeLoads(counts), ids)).toEqual(expected)
  }), { seed: 6 })
})

test('loads of 5,100 endpoints take less than 7 KB', () => {
  expect(encodeLoads(Array.from({ length: 5_100 }, (_, index) => index % 65)).length).toBeLessThan(7_000)
})
