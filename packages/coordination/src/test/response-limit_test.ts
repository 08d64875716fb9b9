import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { ResponseLimit } from '@mimosarock/coordination/http/response-limit.js'

const LIMITS = { headBytes: 1_000, headLines: 20, responseBytes: 10_000 }
const HEAD = 'HTTP/1.1 200 OK\r\nrequest-id: r1\r\n'
const HEADERS = 'a: b\r\n'
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`

/** Cuts a text into parts of a length. */
function cut (text: string, length: number): readonly Buffer[] {
  return Array.from({ length: Math.ceil(text.length / length) }, (_, index) => Buffer.from(text.slice(index * length, (index + 1) * length)))
}

/** Whether a limit is exceeded by a response in parts. */
function isExceeded (limit: ResponseLimit, response: string, partLength: number): boolean {
  limit.reset()
  return cut(response, partLength).some((part) => limit.acceptedBytes(part) < part.length)
}

// Guards against answers that cost memory or the time of the parser, although each of their bytes fits into a limit that is counted later.
test.each([
  ['a reason phrase', `HTTP/1.1 200 ${'x'.repeat(1_000)}`],
  ['a header value', `HTTP/1.1 200 OK\r\na: ${'x'.repeat(1_000)}`],
  ['short headers', `${HEAD}${HEADERS.repeat(20)}`],
  ['a head that ends after too many headers, in one part', `${HEAD}${HEADERS.repeat(20)}\r\nbody`],
  ['informational responses', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(20)],
  ['a reason phrase after an informational response', `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 ${'x'.repeat(1_000)}`],
  ['a chunk extension', `${CHUNKED}1;${'x'.repeat(1_000)}`],
  ['trailers', `${CHUNKED}1\r\nx\r\n0\r\n${HEADERS.repeat(20)}`],
  ['a body', `${HEAD}\r\n${'x'.repeat(10_000)}`]
])('%s without end exceeds the limits, however it is split', (_what, response) => {
  const limit = new ResponseLimit(LIMITS)
  for (const length of [1, 7, 500, 20_000]) expect(isExceeded(limit, response, length)).toBe(true)
})

// Guards against limits that close sound connections.
test('no series of sound responses on a connection exceeds the limits, however they are split', () => {
  const chunks = fc.array(fc.string({ minLength: 1, maxLength: 60, unit: fc.constantFrom('x', '\r', '\n', ':', '0') }), { maxLength: 40 })
  const encode = (parts: readonly string[]): string => parts.map((part) => `${part.length.toString(16)};ext\r\n${part}\r\n`).join('')
  const chunked = chunks.map((parts) => `${CHUNKED}${encode(parts)}0\r\ntrailer: t\r\n\r\n`)
  const plain = chunks.map((parts) => `${HEAD}Content-Length: ${parts.join('').length}\r\n\r\n${parts.join('')}`)
  const informed = chunked.map((response) => `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${response}`)
  const responses = fc.array(fc.oneof(chunked, plain, informed), { minLength: 1, maxLength: 6 })
  fc.assert(fc.property(responses, fc.integer({ min: 1, max: 300 }), (series, partLength) => {
    const limit = new ResponseLimit(LIMITS)
    for (const response of series) expect(isExceeded(limit, response, partLength)).toBe(false)
  }), { seed: 11, numRuns: 300 })
})

// Guards against calls that count as not answered, or as answered, by how the network has cut the response.
test('what precedes the part that exceeds a limit is accepted', () => {
  const limit = new ResponseLimit(LIMITS)
  const accepted = (response: string): string => {
    limit.reset()
    return response.slice(0, limit.acceptedBytes(Buffer.from(response)))
  }
  expect(accepted(`${CHUNKED}1\r\nx\r\n0\r\n${HEADERS.repeat(20)}`)).toBe(`${CHUNKED}1\r\nx\r\n0\r\n`)
  expect(accepted(`${CHUNKED}1;${'x'.repeat(1_000)}`)).toBe(CHUNKED)
  expect(accepted(`${HEAD}\r\n${'x'.repeat(10_000)}`)).toBe(`${HEAD}\r\n`)
  expect(accepted(`${HEAD}${HEADERS.repeat(20)}`)).toBe('')
})
