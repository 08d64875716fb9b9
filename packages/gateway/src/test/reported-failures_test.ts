import { Agent, request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'

// Failures that operators of similar systems have reported.

let fixture: GatewayFixture

beforeEach(async () => {
  fixture = new GatewayFixture(2, 2_000)
  await fixture.start()
})

afterEach(async () => await fixture.stop())

function setBehavior (behavior: TestEndpoint['behavior']): void {
  for (const endpoint of fixture.endpoints) endpoint.behavior = behavior
}

const arrivals = (): number => fixture.endpoints.reduce((sum, endpoint) => sum + endpoint.requests.length, 0)

/** Sends requests over one connection until it is closed; returns those that ended without a response, with what was read of them. */
async function callUntilClosed (port: number, name: string): Promise<string[]> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let number = 0; ; number += 1) {
    const id = `${name}-${number}`
    const isAnswered = await new Promise<boolean>((resolve) => {
      const request = httpRequest({ agent, port, host: '127.0.0.1', path: '/pay/', method: 'POST', headers: { host: 'h', 'request-id': id } }, (response) => {
        response.resume()
        response.on('close', () => resolve(response.complete))
      })
      request.on('error', () => resolve(false))
      request.end()
    })
    if (isAnswered) continue
    agent.destroy()
    return [id]
  }
}

test('a planned stop under load answers every request that an endpoint has received', async () => {
  setBehavior((request, response) => { setTimeout(() => TestEndpoint.respond(request, response, 'x'), 15) })
  const callers = Array.from({ length: 30 }, (_, index) => callUntilClosed(fixture.port, `c${index}`))
  await sleep(300)
  await fixture.stop()
  const unanswered = (await Promise.all(callers)).flat()
  const received = new Set(fixture.endpoints.flatMap(({ requests }) => requests.map(({ headers }) => headers['request-id'])))
  expect(received.size).toBeGreaterThan(30)
  expect(unanswered.filter((id) => received.has(id))).toEqual([])
})

test('a slow but sound stream is not cut', async () => {
  setBehavior((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' })
    response.write('id: 1\ndata: a\n\n')
    setTimeout(() => response.write('id: 2\ndata: b\n\n'), 900)
    setTimeout(() => response.end('id: 3\ndata: c\n\n'), 1_800)
  })
  const [resumable, other] = await Promise.all([fixture.call('POST', '/resume/'), fixture.call('POST', '/stream/')])
  expect([resumable.isWhole, other.isWhole, arrivals()]).toEqual([true, true, 2])
})

test('a stream that trickles bytes without completing an event goes on at another endpoint', async () => {
  let calls = 0
  setBehavior((request, response) => {
    calls += 1
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' })
    if (calls > 1) return response.end(`id: 2\ndata: after ${String(request.headers['last-event'])}\n\n`)
    response.write('id: 1\ndata: a\n\nid: 2\ndata: ')
    const trickle = setInterval(() => response.write('.'), 100)
    response.on('close', () => clearInterval(trickle))
  })
  const response = await fixture.call('POST', '/resume/')
  expect([response.body, response.isWhole]).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: after 1\n\n', true])
})

test('a stream that trickles bytes and can not be resumed ends at the timeout of its route', async () => {
  setBehavior((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' })
    const trickle = setInterval(() => response.write('.'), 100)
    response.on('close', () => clearInterval(trickle))
  })
  const response = await fixture.call('POST', '/stream/', { deadline: '1500' })
  expect([response.status, JSON.parse(response.body).run, arrivals()]).toEqual([504, 'unknown', 1])
}, 10_000)

test('an idempotent request at an endpoint that has fallen silent is sent to another one', async () => {
  const [first] = fixture.endpoints
  setBehavior((request, response) => { if (arrivals() > 1) TestEndpoint.respond(request, response, 'answered') })
  const response = await fixture.call('GET', '/read/')
  expect([response.status, response.body, arrivals(), first?.requests.length]).toEqual([200, 'answered', 2, 1])
})

test('after the answer of a call that may run once is lost, it is not run again and not called not run', async () => {
  setBehavior((_request, response) => { response.socket?.resetAndDestroy() })
  const reset = await fixture.call('POST', '/pay/')
  setBehavior(() => undefined)
  const silent = await fixture.call('POST', '/pay/', { deadline: '2500' })
  expect([reset.status, JSON.parse(reset.body).run]).toEqual([502, 'unknown'])
  expect([silent.status, JSON.parse(silent.body).run]).toEqual([504, 'unknown'])
  expect(arrivals()).toBe(2)
})

test('a request that was delayed is not sent with a key that may have been taken away meanwhile', async () => {
  const { routes, ...configuration } = createConfiguration(4)
  fixture.store.configurations.put('config', { ...configuration, routes: routes.map((route) => ({ ...route, timeoutMs: 20_000 })) })
  while (!fixture.lines.some(({ event, fields }) => event === 'configuration-in-force' && fields.version === 4)) await sleep(10)
  const socket = fixture.connect()
  const received: Buffer[] = []
  socket.on('data', (bytes: Buffer) => received.push(bytes))
  socket.write('POST /keyed/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: k1\r\nContent-Length: 4\r\n\r\nbo')
  await sleep(50)
  // The process is paused between the head of the request and its body.
  fixture.store.configurations.isDown = true
  fixture.clock.skewMs = 6_000
  socket.write('dy')
  while (received.length === 0) await sleep(10)
  socket.destroy()
  expect(Buffer.concat(received).toString()).toMatch(/^HTTP\/1.1 503 /)
  expect(arrivals()).toBe(0)
})
