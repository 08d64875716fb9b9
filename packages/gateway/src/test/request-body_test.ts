import { EventEmitter } from 'node:events'
import type { IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RequestBody } from '@mimosarock/gateway/caller/request-body.js'
import { HeldBytes } from '@mimosarock/gateway/memory/held-bytes.js'
import { GatewayFixture } from './gateway-fixture.js'
import { waitUntil } from './wait-until.js'

const MAXIMUM_BYTES = 10_000
const MEMORY_BYTES = 20_000

let fixture: GatewayFixture | undefined

afterEach(async () => {
  await fixture?.stop()
  fixture = undefined
})

function createBody (headers: Record<string, string>): { readonly body: RequestBody, readonly request: EventEmitter & { complete: boolean } } {
  const request = Object.assign(new EventEmitter(), { headers, complete: false })
  const held = new HeldBytes({ memoryBytes: MEMORY_BYTES }).add({ unsentBytes: () => 0, closeSlow: () => undefined })
  return { request, body: new RequestBody(request as unknown as IncomingMessage, () => MAXIMUM_BYTES, held) }
}

test.each([
  ['is declared too long', { 'content-length': '10001' }, [], ResultCode.BODY_TOO_LARGE],
  ['becomes too long', { 'transfer-encoding': 'chunked' }, [1_000, 9_001], ResultCode.BODY_TOO_LARGE],
  ['takes more memory than there is', { 'transfer-encoding': 'chunked' }, [3_000, 3_000], ResultCode.OVERLOADED]
])('a body that %s is refused', async (_what, headers, parts, code) => {
  const { request, body } = createBody(headers as Record<string, string>)
  for (const length of parts) request.emit('data', Buffer.alloc(length))
  request.emit('end')
  await expect(body.read()).rejects.toMatchObject({ code })
})

test('an empty body and one that arrived before it is read are returned', async () => {
  const { request, body } = createBody({ 'content-length': '4' })
  for (const part of ['bo', 'dy']) request.emit('data', Buffer.from(part))
  request.emit('end')
  expect((await body.read()).toString()).toBe('body')
  expect((await createBody({}).body.read()).length).toBe(0)
})

// Guards against LOST as in review/13: the read of a body whose caller had left before it began never ended, and its request stayed in flight.
test('a body whose caller has left before it is read is refused', async () => {
  const { request, body } = createBody({ 'content-length': '4' })
  request.emit('data', Buffer.from('b'))
  request.emit('close')
  await expect(body.read()).rejects.toMatchObject({ code: ResultCode.CALLER_GONE })
})

// Guards against the same for callers that leave while a starting router can't serve them yet.
test('requests whose callers leave while the router starts are not in flight for ever', async () => {
  fixture = new GatewayFixture(0)
  await fixture.start()
  const { lines, port } = fixture
  expect(port).toBeGreaterThan(0)
  const socket = fixture.connect()
  socket.write('POST /pay/ HTTP/1.1\r\nhost: h\r\nrequest-id: left\r\ncontent-length: 9\r\n\r\nbody')
  await sleep(50)
  socket.destroy()
  await waitUntil(async () => lines.some(({ event, fields }) => event === 'request' && fields.request === 'left' && fields.code === ResultCode.CALLER_GONE))
})
