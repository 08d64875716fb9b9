import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import type { CallResult } from '@mimosarock/gateway/sending/call-result.js'
import { EndpointCall } from '@mimosarock/gateway/sending/endpoint-call.js'
import { EndpointConnections } from '@mimosarock/gateway/sending/endpoint-connections.js'
import type { WireCodec } from '@mimosarock/gateway/model/wire-codec.js'
import { headerCodec } from './header-codec.js'

const ID = 'a1'
const servers: Server[] = []
const connections = new EndpointConnections(() => Infinity)

afterEach(() => {
  connections.closeAll()
  for (const server of servers.splice(0)) server.close()
})

/** Runs one call against an endpoint that executes `onRequest` on receipt of the request. */
async function callEndpoint (onRequest: (socket: Socket) => void): Promise<{ result: CallResult, body: string }> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => onRequest(socket))
  })
  servers.push(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  let body = ''
  const receiver = { start: () => true, data: (chunk: Buffer) => { body += chunk.toString(); return true }, findProblem: () => undefined }
  const call = new EndpointCall({ id: ID, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), isIdempotent: true }, headerCodec as WireCodec, receiver)
  const endpoint = { id: 'e', service: 's', address, availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 0, revision: 0 }
  call.send(connections.pool(endpoint, false, 1))
  const result = await call.result
  return { result, body }
}

const HEAD = `HTTP/1.1 200 OK\r\nrequest-id: ${ID}\r\nsignature: s\r\n`

test('a connection reset does not complete a response without a length', async () => {
  const { result } = await callEndpoint((socket) => {
    socket.write(`${HEAD}\r\npart`)
    setTimeout(() => socket.resetAndDestroy(), 50)
  })
  expect(result.outcome).toBe(CallOutcome.BROKEN)
})

test('a connection reset does not complete a response without a length that announces the close of the connection', async () => {
  const { result } = await callEndpoint((socket) => {
    socket.write(`${HEAD}Connection: close\r\n\r\npart`)
    setTimeout(() => socket.resetAndDestroy(), 50)
  })
  expect(result.outcome).toBe(CallOutcome.BROKEN)
})

test('a connection reset right after a FIN does not complete a response without a length', async () => {
  const { result } = await callEndpoint((socket) => {
    socket.write(`${HEAD}\r\npart`)
    // Blocks the event loop, which makes the FIN and the reset arrive before the router reads either.
    setTimeout(() => {
      socket.end(() => socket.resetAndDestroy())
      const until = performance.now() + 20
      while (performance.now() < until);
    }, 50)
  })
  expect(result.outcome).toBe(CallOutcome.BROKEN)
})

test('a regular close of the connection completes a response without a length', async () => {
  const { result, body } = await callEndpoint((socket) => socket.end(`${HEAD}\r\nwhole`))
  expect([result.outcome, body]).toEqual([CallOutcome.COMPLETE, 'whole'])
})

test('a response that is shorter than its Content-Length is broken', async () => {
  const { result } = await callEndpoint((socket) => socket.end(`${HEAD}Content-Length: 10\r\n\r\npart`))
  expect(result.outcome).toBe(CallOutcome.BROKEN)
})

test('a response to another request is invalid', async () => {
  const { result } = await callEndpoint((socket) => socket.end('HTTP/1.1 200 OK\r\nrequest-id: b2\r\nsignature: s\r\n\r\n'))
  expect(result.outcome).toBe(CallOutcome.INVALID)
})

test('a successful response without a signature is invalid', async () => {
  const { result } = await callEndpoint((socket) => socket.end(`HTTP/1.1 200 OK\r\nrequest-id: ${ID}\r\n\r\n`))
  expect(result.outcome).toBe(CallOutcome.INVALID)
})

test('a response that states that the request did not run is a rejection', async () => {
  const { result } = await callEndpoint((socket) => socket.end(`HTTP/1.1 503 Full\r\nrequest-id: ${ID}\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n`))
  expect(result.outcome).toBe(CallOutcome.REJECTED)
})

test('bytes that are not HTTP count as no answer', async () => {
  const { result } = await callEndpoint((socket) => socket.end('garbage\r\n\r\n'))
  expect(result.outcome).toBe(CallOutcome.NO_ANSWER)
})

test('a refused connection means that the request was not sent', async () => {
  const call = new EndpointCall({ id: ID, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), isIdempotent: true }, headerCodec as WireCodec, {
    start: () => true, data: () => true, findProblem: () => undefined
  })
  const endpoint = { id: 'gone', service: 's', address: '127.0.0.1:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 0, revision: 0 }
  call.send(connections.pool(endpoint, false, 1))
  expect((await call.result).outcome).toBe(CallOutcome.NOT_SENT)
})
