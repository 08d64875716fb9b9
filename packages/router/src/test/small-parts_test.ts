import * as fc from 'fast-check'
import type { IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import { BoundedHttpClient } from '@mimosarock/router/http/bounded-http-client.js'
import { readBody } from '@mimosarock/router/http/read-body.js'
import { StreamEventSplitter } from '@mimosarock/router/responses/stream-event-splitter.js'
import { EarlyServer } from '@mimosarock/stand-ins/early-server.js'
import { usedBytes } from '@mimosarock/stand-ins/used-bytes.js'

const PARTS = 300_000
const STREAMS = 10
/** Bytes that a stream may take whose reader does not go on: what the client and the socket queue, and what the test's server has not sent. */
const MAXIMUM_STREAM_BYTES = 4_000_000
const READ = Buffer.alloc(PARTS, 'a')
const STREAM = 'id: 0\ndata: a\n\nid: 1\ndata: b\n\n: comment\n\ndata: c\n\n'

/** Yields a body in parts of one byte, and tells at its end how much memory its reader keeps of it. */
async function * singleBytes (tell: (retained: number) => void): AsyncGenerator<Buffer> {
  const before = usedBytes()
  for (let position = 0; position < PARTS; position += 1) yield READ.subarray(position, position + 1)
  tell(usedBytes() - before)
}

// Guards against LOST as in review/12 and review/6 in the owner-based router: parts of one byte that each take the memory of a buffer.
test.each([
  ['a request', async (body: AsyncIterable<Buffer>) => await readBody(Object.assign(body, { headers: {} }) as unknown as IncomingMessage, PARTS)],
  ['a response', async (body: AsyncIterable<Buffer>) => await readBoundedBody(body, PARTS)]
])('the body of %s in parts of one byte takes memory by its length alone', async (_what, read) => {
  let retained = 0
  const body = await read(singleBytes((bytes) => { retained = bytes }))
  expect(body.equals(READ)).toBe(true)
  expect(retained).toBeLessThan(2 * PARTS + 1_000_000)
})

// Guards against an event whose parts are joined again with each one: this test then takes minutes.
test('an event in parts of one byte takes memory and time by its length alone', () => {
  const splitter = new StreamEventSplitter()
  const before = usedBytes()
  let events = 0
  for (let position = 0; position < PARTS; position += 1) events += splitter.push(READ.subarray(position, position + 1)).length
  expect(usedBytes() - before).toBeLessThan(2 * PARTS + 1_000_000)
  expect([events, splitter.push(Buffer.from('\n\n')).length]).toEqual([0, 1])
})

// Guards against events that are lost, joined or cut where a part ends.
test('events are the same however the stream is split', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: STREAM.length }), { maxLength: 10 }), (cuts) => {
    const splitter = new StreamEventSplitter()
    const points = [0, ...[...cuts].sort((left, right) => left - right), STREAM.length]
    const events = points.flatMap((point, index) => splitter.push(Buffer.from(STREAM.slice(point, points[index + 1] ?? STREAM.length))))
    expect(events.map(({ id, bytes }) => [id, bytes.toString()])).toEqual([
      [0, 'id: 0\ndata: a\n\n'], [1, 'id: 1\ndata: b\n\n'], [undefined, ': comment\n\n'], [undefined, 'data: c\n\n']
    ])
  }), { seed: 3, numRuns: 300 })
})

// Guards against the same in what the HTTP client queues for a slow reader: its bound counts bytes, however many parts they are.
test('a response in parts of one byte, which its reader does not take, takes little memory', async () => {
  const server = await EarlyServer.start({
    afterBytes: 0, readsOn: true, ending: undefined, delayMs: 0, answer: () => `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(PARTS)}0\r\n\r\n`
  })
  const client = new BoundedHttpClient({ address: server.address, connectTimeoutMs: 5_000, maximumConnections: 20 })
  const request = { method: 'GET', path: '/', headers: {}, body: undefined, firstByteTimeoutMs: 20_000, silenceTimeoutMs: 20_000 }
  const before = usedBytes()
  const readers = await Promise.all(Array.from({ length: STREAMS }, async () => (await client.send(request, new AbortController().signal)).body[Symbol.asyncIterator]()))
  await Promise.all(readers.map(async (reader) => await reader.next()))
  await sleep(200)
  expect(usedBytes() - before).toBeLessThan(STREAMS * MAXIMUM_STREAM_BYTES)
  await client.destroy()
  server.close()
})
