import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { ByteBuffer } from '@mimosarock/coordination/http/byte-buffer.js'

const BLOCK_BYTES = 65_536
const FIRST_BLOCK_BYTES = 1_024

// Guards against bytes that are lost or in another order, and against memory that depends on the number of parts.
test('returns the bytes in order however they are split, and takes at most twice their length or a block more', () => {
  const lengths = fc.array(fc.oneof(fc.integer({ min: 0, max: 20 }), fc.integer({ min: 0, max: 200_000 })), { maxLength: 20 })
  fc.assert(fc.property(lengths, (partLengths) => {
    const buffer = new ByteBuffer()
    const parts = partLengths.map((length, index) => Buffer.alloc(length, index + 1))
    const expected = Buffer.concat(parts)
    for (const part of parts) buffer.append(part)
    expect(buffer.length).toBe(expected.length)
    expect(buffer.capacity).toBeLessThanOrEqual(Math.max(FIRST_BLOCK_BYTES, Math.min(2 * expected.length, expected.length + BLOCK_BYTES)))
    expect(buffer.take().equals(expected)).toBe(true)
    expect([buffer.length, buffer.capacity]).toEqual([0, 0])
  }), { seed: 5, numRuns: 200 })
})

// Guards against a copy that changes when the memory of the received bytes is used again.
test('keeps a copy of the bytes', () => {
  const buffer = new ByteBuffer()
  const part = Buffer.from('abc')
  buffer.append(part)
  part.fill('x')
  expect(buffer.take().toString()).toBe('abc')
})
