import { expect, test } from 'vitest'
import { endToEndHeaders } from '../http/end-to-end-headers.js'

test('headers that the Connection header names are not forwarded', () => {
  const headers = { connection: 'close, X-Hop', 'x-hop': '1', 'x-end': ['2', '3'], te: 'trailers', 'keep-alive': 'timeout=5' }
  expect(endToEndHeaders(headers)).toEqual({ 'x-end': '2, 3' })
})
