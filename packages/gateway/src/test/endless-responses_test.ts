import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { EndpointCall } from '@mimosarock/gateway/sending/endpoint-call.js'
import { EndpointConnections } from '@mimosarock/gateway/sending/endpoint-connections.js'
import { plainCodec } from './plain-codec.js'

/** Bytes of a response head, or of a body that nobody needs, after which a call has to end; buffers of the system take some of them. */
const MAXIMUM_HEAD_BYTES = 8_000_000
/** Bytes of a body after which a call has to end. */
const MAXIMUM_BODY_BYTES = 80_000_000
/** Safety stop of the endpoint, in bytes. */
const ENDPOINT_STOP_BYTES = 120_000_000
const FILLER = 'x'.repeat(16_384)
const HEAD = 'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nsignature: s\r\n'
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`

const connections = new EndpointConnections()
const servers: Server[] = []

afterEach(() => {
  connections.closeAll()
  for (const server of servers.splice(0)) server.close()
})

/** Sends a text and then another one without end, as fast as the receiver reads. */
async function sendWithoutEnd (socket: Socket, start: string, filler: string): Promise<void> {
  socket.write(start)
  while (!socket.destroyed && socket.bytesWritten < ENDPOINT_STOP_BYTES) {
    if (!socket.write(filler)) await Promise.race([once(socket, 'drain'), once(socket, 'close')])
  }
}

/** Calls an endpoint that sends without end. Returns the outcome and the number of bytes that the endpoint had sent by then. */
async function call (start: string, filler: string): Promise<{ outcome: string, bytes: number }> {
  const sockets: Socket[] = []
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => undefined)
    socket.once('data', () => { sendWithoutEnd(socket, start, filler).catch(() => undefined) })
  })
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const endpointCall = new EndpointCall({ id: 'r1', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) }, plainCodec, {
    start: () => true, data: () => true, findProblem: () => undefined
  })
  endpointCall.send(connections.pool({ id: address, service: 's', address, availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 0, revision: 0 }, true, 1))
  const outcome = await Promise.race([endpointCall.result.then((result) => result.outcome), sleep(8_000, 'does not end')])
  const [socket] = sockets
  while (socket?.destroyed === false && socket.bytesWritten < ENDPOINT_STOP_BYTES) await sleep(10)
  return { outcome, bytes: socket?.bytesWritten ?? 0 }
}

// Guards against endpoints whose bytes never end: the router must close the connection, and neither wait nor keep them all.
test.each([
  ['bytes that are not HTTP', '', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a reason phrase', 'HTTP/1.1 200 ', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a header name', 'HTTP/1.1 200 OK\r\n', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a header value', 'HTTP/1.1 200 OK\r\na: ', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['headers', 'HTTP/1.1 200 OK\r\n', 'a: b\r\n'.repeat(2_000), CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['informational responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500), CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a chunk extension', `${CHUNKED}1;`, FILLER, CallOutcome.BROKEN, MAXIMUM_BODY_BYTES],
  ['trailers', `${CHUNKED}0\r\n`, 'a: b\r\n'.repeat(2_000), CallOutcome.BROKEN, MAXIMUM_BODY_BYTES],
  ['a body', `${HEAD}\r\n`, FILLER, CallOutcome.BROKEN, MAXIMUM_BODY_BYTES],
  ['the body of a rejection', 'HTTP/1.1 503 Full\r\nrequest-id: r1\r\nnot-run: 1\r\n\r\n', FILLER, CallOutcome.REJECTED, MAXIMUM_HEAD_BYTES]
])('a call ends after a bounded number of bytes of %s without end', async (_name, start, filler, expected, maximumBytes) => {
  const { outcome, bytes } = await call(start, filler)
  expect(outcome).toBe(expected)
  expect(bytes).toBeLessThan(maximumBytes)
}, 30_000)
