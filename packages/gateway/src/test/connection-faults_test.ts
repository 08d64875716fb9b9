import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { EndpointCall } from '@mimosarock/gateway/sending/endpoint-call.js'
import { EndpointConnections } from '@mimosarock/gateway/sending/endpoint-connections.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { plainCodec } from './plain-codec.js'

const connections = new EndpointConnections(() => Infinity)
const servers: Server[] = []

afterEach(() => {
  connections.closeAll()
  for (const server of servers.splice(0)) server.close()
})

/** Starts a TCP server in place of an endpoint; `onConnection` receives each connection and its number, starting at 1. */
async function startEndpoint (onConnection: (socket: Socket, connection: number) => void): Promise<{ address: string, count: () => number }> {
  let count = 0
  const server = createServer((socket) => {
    count += 1
    socket.on('error', () => undefined)
    onConnection(socket, count)
  })
  servers.push(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, count: () => count }
}

/** Calls the endpoint and returns the outcome and the response body. */
async function call (address: string, id: string, body = Buffer.alloc(0)): Promise<[CallOutcome, string]> {
  let text = ''
  const request = { id, method: body.length > 0 ? 'POST' : 'GET', path: '/', headers: ['request-id', id], body, isIdempotent: body.length === 0 }
  const endpointCall = new EndpointCall(request, plainCodec, {
    start: () => true,
    data: (chunk) => {
      text += chunk.toString()
      return true
    },
    findProblem: () => undefined
  })
  const endpoint = { id: address, service: 's', address, availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 0, revision: 0 }
  endpointCall.send(connections.pool(endpoint, true, 1))
  const { outcome } = await endpointCall.result
  return [outcome, text]
}

const responseText = (id: string, body: string): string => {
  return `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nsignature: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`
}

test('discards an extra response that follows a complete one', async () => {
  const endpoint = await startEndpoint((socket) => socket.on('data', (bytes) => {
    const id = /request-id: (\S+)/.exec(bytes.toString())?.[1] ?? ''
    socket.write(responseText(id, `for ${id}`) + responseText(id, 'extra'))
  }))
  expect(await call(endpoint.address, 'r1')).toEqual([CallOutcome.COMPLETE, 'for r1'])
  await sleep(30)
  expect(await call(endpoint.address, 'r2')).toEqual([CallOutcome.COMPLETE, 'for r2'])
})

test('rejects a late response to the previous request on the connection', async () => {
  let requests = 0
  const endpoint = await startEndpoint((socket) => socket.on('data', (bytes) => {
    const id = /request-id: (\S+)/.exec(bytes.toString())?.[1] ?? ''
    requests += 1
    if (requests === 1) socket.write(responseText(id, 'first'))
    else socket.write(responseText('r1', 'late') + responseText(id, 'second'))
  }))
  expect(await call(endpoint.address, 'r1')).toEqual([CallOutcome.COMPLETE, 'first'])
  expect(await call(endpoint.address, 'r2')).toEqual([CallOutcome.INVALID, ''])
})

test('does not reuse a connection on which a response arrived before a long request body was read', async () => {
  const endpoint = await startEndpoint((socket, connection) => {
    if (connection > 1) {
      socket.once('data', () => socket.write(responseText('r2', 'second')))
      return
    }
    socket.once('data', () => {
      socket.pause()
      socket.write('HTTP/1.1 413 Too Large\r\nrequest-id: r1\r\nsignature: s\r\nContent-Length: 5\r\n\r\nearly')
    })
  })
  const [outcome] = await call(endpoint.address, 'r1', Buffer.alloc(8_000_000))
  expect([CallOutcome.COMPLETE, CallOutcome.BROKEN]).toContain(outcome)
  // The endpoint stops reading, which would block a second call on the same connection forever.
  const second = await Promise.race([call(endpoint.address, 'r2'), sleep(1_000, 'waits behind the unread body')])
  expect(second).toEqual([CallOutcome.COMPLETE, 'second'])
  expect(endpoint.count()).toBe(2)
})

test('sends a long body completely, with its length', async () => {
  let received = ''
  const endpoint = await startEndpoint((socket) => socket.on('data', (bytes) => {
    received += bytes.toString('latin1')
    if (received.length > 100_000) socket.write(responseText('r1', String(received.length - received.indexOf('\r\n\r\n') - 4)))
  }))
  expect(await call(endpoint.address, 'r1', Buffer.alloc(100_000, 'x'))).toEqual([CallOutcome.COMPLETE, '100000'])
  expect(received).toMatch(/content-length: 100000\r\n/i)
})

test('reuses the connection after a rejection', async () => {
  let requests = 0
  const endpoint = await startEndpoint((socket) => socket.on('data', () => {
    requests += 1
    socket.write(requests > 1 ? responseText('r2', 'second') : 'HTTP/1.1 503 Full\r\nrequest-id: r1\r\nnot-run: 1\r\nContent-Length: 4\r\n\r\nfull')
  }))
  expect(await call(endpoint.address, 'r1')).toEqual([CallOutcome.REJECTED, ''])
  await sleep(30)
  expect(await call(endpoint.address, 'r2')).toEqual([CallOutcome.COMPLETE, 'second'])
  expect(endpoint.count()).toBe(1)
})

test('closes the connection after a response with Connection: close', async () => {
  const endpoint = await startEndpoint((socket, connection) => socket.on('data', () => {
    socket.write(responseText(`r${connection}`, 'x').replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'))
  }))
  expect(await call(endpoint.address, 'r1')).toEqual([CallOutcome.COMPLETE, 'x'])
  expect(await call(endpoint.address, 'r2')).toEqual([CallOutcome.COMPLETE, 'x'])
  expect(endpoint.count()).toBe(2)
})

test('a late second copy of a rejection is not taken for a statement about the next call on the connection', async () => {
  let requests = 0
  const rejection = 'HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 4\r\n\r\nfull'
  const endpoint = await startEndpoint((socket) => socket.on('data', () => {
    requests += 1
    if (requests === 1) socket.write(responseText('r1', 'first'))
    else socket.write(rejection + responseText('r2', 'second'))
  }))
  expect(await call(endpoint.address, 'r1')).toEqual([CallOutcome.COMPLETE, 'first'])
  expect(await call(endpoint.address, 'r2')).toEqual([CallOutcome.INVALID, ''])
})
