import { once } from 'node:events'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'

/** Bytes of a response; more than the buffers of the system take of one connection. */
const RESPONSE_BYTES = 24_000_000
const EVENT = Buffer.from(`data: ${'x'.repeat(65_528)}\n\n`)
const EVENTS = Math.ceil(RESPONSE_BYTES / EVENT.length)
const END_OF_CHUNKS = '\r\n0\r\n\r\n'

let fixture: GatewayFixture

afterEach(async () => await fixture.stop())

/** Starts a router with two endpoints, whose callers have much time and may send long bodies. */
async function start (memoryBytes: number | undefined): Promise<void> {
  fixture = new GatewayFixture(2, 1_000, { settings: { memoryBytes }, registrations: [{ slots: 64 }, { slots: 64 }] })
  await fixture.start()
  const { limits, routes, ...base } = createConfiguration(4)
  fixture.store.configurations.put('config', {
    ...base,
    routes: routes.map((route) => ({ ...route, timeoutMs: 60_000, objectiveMs: 20_000 })),
    limits: limits === undefined ? undefined : { ...limits, bodyBytes: 1_000_000 }
  })
  while (!fixture.lines.some(({ event, fields }) => event === 'configuration-in-force' && fields.version === 4)) await sleep(5)
}

/** Sends a long event stream as fast as it is read. */
async function sendStream (request: IncomingMessage, response: ServerResponse): Promise<void> {
  response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's', 'content-type': 'text/event-stream' })
  await pipeline(Readable.from(Array.from({ length: EVENTS }, () => EVENT)), response)
}

/** Opens a connection, sends the start of a request, and reads nothing. */
function open (head: string): Socket {
  const socket = fixture.connect()
  socket.on('error', () => undefined)
  socket.write(`${head}\r\n\r\n`)
  return socket
}

/** Reads the rest of a response and returns whether it is whole. */
async function readWhole (socket: Socket): Promise<boolean> {
  const tail = { text: '' }
  socket.on('data', (chunk: Buffer) => { tail.text = (tail.text + chunk.subarray(-END_OF_CHUNKS.length).toString('latin1')).slice(-END_OF_CHUNKS.length) })
  const isWhole = (): boolean => tail.text === END_OF_CHUNKS
  while (!socket.destroyed && !isWhole()) await sleep(5)
  return isWhole()
}

const streamHead = (id: string): string => `GET /stream/ HTTP/1.1\r\nhost: h\r\nrequest-id: ${id}`

// Guards against memory that grows with the number of slow callers, and against closed connections that look like whole responses.
test('many callers that read nothing: some are closed, the others get their whole responses when they read, and a fast caller notices nothing', async () => {
  await start(800_000)
  for (const endpoint of fixture.endpoints) endpoint.behavior = (request, response) => { sendStream(request, response).catch(() => undefined) }
  const slow = Array.from({ length: 16 }, (_, index) => open(streamHead(`slow${index}`)))
  const closed = (): unknown[] => fixture.lines.filter(({ event }) => event === 'caller-too-slow').map(({ fields }) => fields.request)
  while (closed().length === 0) {
    const fast = await fixture.call('GET', '/stream/', { 'request-id': 'fast' })
    expect([fast.isWhole, fast.body.length]).toEqual([true, EVENTS * EVENT.length])
  }
  const isWhole = await Promise.all(slow.map(readWhole))
  expect(isWhole).toEqual(slow.map((_, index) => !closed().includes(`slow${index}`)))
  expect(isWhole).toContain(true)
  expect(closed()).not.toContain('fast')
  const codes = fixture.lines.filter(({ event, fields }) => event === 'request' && closed().includes(fields.request)).map(({ fields }) => fields.code)
  expect(new Set(codes)).toEqual(new Set([ResultCode.CALLER_TOO_SLOW]))
}, 60_000)

// Guards against bodies that fill the memory while they arrive slowly, and keep out other requests.
test('request bodies that arrive slowly: the largest is refused as not run to make room, small requests and the rest are served', async () => {
  await start(400_000)
  const post = (id: string, sent: number): Socket => {
    const socket = open(`POST /pay/ HTTP/1.1\r\nhost: h\r\nrequest-id: ${id}\r\ncontent-length: 90000`)
    socket.write('x'.repeat(sent))
    return socket
  }
  const [large, small] = [post('large', 60_000), post('small', 35_000)]
  const parts: string[] = []
  large.on('data', (chunk: Buffer) => parts.push(chunk.toString()))
  for (let count = 0; count < 8 || parts.length === 0; count += 1) expect((await fixture.call('POST', '/pay/', {}, 'y'.repeat(20_000))).status).toBe(200)
  const answer = parts.join('')
  expect([answer.includes('HTTP/1.1 503'), answer.includes(`"code":${ResultCode.OVERLOADED}`), answer.includes('"run":"not-run"')]).toEqual([true, true, true])
  small.write('x'.repeat(55_000))
  const [response] = await once(small, 'data') as [Buffer]
  expect(response.toString()).toContain('HTTP/1.1 200')
  expect(fixture.endpoints.flatMap(({ requests }) => requests).filter(({ headers }) => headers['request-id'] === 'large')).toEqual([])
})

// Guards against a stream that an endpoint has cut off because nobody read it: where only the end of the connection marks the end of
// the response, it would look complete. The endpoint is sound, and other requests must still reach it.
test('a stream without a length that ends after it was not read for some time is incomplete for the caller, and its endpoint keeps its requests', async () => {
  await start(undefined)
  const sockets: Socket[] = []
  for (const endpoint of fixture.endpoints) {
    endpoint.behavior = (request, response) => {
      const sending = response.socket as Socket
      sockets.push(sending)
      sending.write(`HTTP/1.1 200 OK\r\nrequest-id: ${request.headers['request-id']}\r\nsignature: s\r\ncontent-type: text/event-stream\r\n\r\n`)
      sending.end(Buffer.concat(Array.from({ length: EVENTS }, () => EVENT)))
    }
  }
  // Two of the three are at the same endpoint, which would be avoided after two failures.
  const slow: Socket[] = []
  for (const id of ['slow0', 'slow1', 'slow2']) {
    slow.push(open(streamHead(id)))
    while (sockets.length < slow.length) await sleep(5)
  }
  const unsent = [-1]
  while (sockets.reduce((sum, { writableLength }) => sum + writableLength, 0) !== unsent.at(-1)) {
    unsent.push(sockets.reduce((sum, { writableLength }) => sum + writableLength, 0))
    await sleep(100)
  }
  expect(sockets.filter(({ writableLength }) => writableLength > 0)).toHaveLength(slow.length)
  fixture.clock.skewMs += 3_000
  expect(await Promise.all(slow.map(readWhole))).toEqual(slow.map(() => false))
  expect(fixture.lines.filter(({ event, fields }) => event === 'request' && fields.code === ResultCode.ENDPOINT_FAILED)).toHaveLength(slow.length)
  const held: (() => void)[] = []
  for (const endpoint of fixture.endpoints) endpoint.behavior = (request, response) => held.push(() => TestEndpoint.respond(request, response, ''))
  const calls = Array.from({ length: 4 }, (_, index) => fixture.call('POST', '/pay/', { 'request-id': `r${index}` }))
  while (held.length < calls.length) await sleep(5)
  expect(fixture.endpoints.map(({ requests }) => requests.length).sort()).toEqual([3, 4])
  for (const release of held) release()
  await Promise.all(calls)
}, 30_000)
