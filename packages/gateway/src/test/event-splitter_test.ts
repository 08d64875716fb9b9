import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { EventSplitter } from '@mimosarock/gateway/responses/event-splitter.js'

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n'

test('returns complete events in order however the bytes are split into chunks', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: STREAM.length - 1 }), { maxLength: 8 }), (cuts) => {
    const splitter = new EventSplitter()
    const points = [0, ...[...cuts].sort((left, right) => left - right), STREAM.length]
    let out = ''
    for (let index = 1; index < points.length; index += 1) {
      const events = splitter.push(Buffer.from(STREAM.slice(points[index - 1], points[index]))).toString()
      expect(events === '' || /\n\r?\n$/.test(events)).toBe(true)
      out += events
    }
    expect([out, splitter.lastEventId, splitter.partialBytes]).toEqual([STREAM, '3', 0])
  }), { seed: 3, numRuns: 300 })
})

test('discards the beginning of an incomplete event', () => {
  const splitter = new EventSplitter()
  splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
  splitter.discardPartialEvent()
  expect(splitter.push(Buffer.from('id: 2\ndata: b\n\n')).toString()).toBe('id: 2\ndata: b\n\n')
})

test('events without an id keep the last one', () => {
  const splitter = new EventSplitter()
  splitter.push(Buffer.from('data: a\nid: 7\n\n'))
  splitter.push(Buffer.from('data: id: 8\n\n: comment\n\n'))
  expect(splitter.lastEventId).toBe('7')
})

// Guards against a resumption that sends the caller events again which came after the last one with an id.
test.each([
  [true, ['id: 1\ndata: a\n\n', ': comment\n\n']],
  [true, ['data: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n', 'id: 3\nda']],
  [false, ['id: 1\ndata: a\n\n', 'data: b\n\n']],
  [false, ['id: 1\ndata: a\n\ndata: id: 2\n\n']],
  [false, ['data: a\n\n']],
  [false, []]
])('a stream can be continued after its last event only if that has an id: %s, %j', (isExpected, chunks) => {
  const splitter = new EventSplitter()
  for (const chunk of chunks) splitter.push(Buffer.from(chunk))
  expect(splitter.endsWithId).toBe(isExpected)
})
