import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { EndpointCall } from '@mimosarock/gateway/sending/endpoint-call.js'
import { EndpointConnections } from '@mimosarock/gateway/sending/endpoint-connections.js'
import { GatewayFixture } from './gateway-fixture.js'
import { plainCodec } from './plain-codec.js'
import { TestEndpoint } from './test-endpoint.js'

const PAUSE_MS = 30_000

let fixture: GatewayFixture

beforeEach(async () => {
  fixture = new GatewayFixture(2)
  await fixture.start()
})

afterEach(async () => await fixture.stop())

const [FIRST, SECOND] = [0, 1]
const endpoint = (index: number): TestEndpoint => fixture.endpoints[index] as TestEndpoint
const counts = (): number[] => fixture.endpoints.map(({ requests }) => requests.length)

/** Lets an endpoint add headers to its responses. */
function respondWith (index: number, status: number, headers: Record<string, string>): void {
  endpoint(index).behavior = (request, response) => {
    response.writeHead(status, { 'request-id': request.headers['request-id'], signature: 's', ...headers }).end('x')
  }
}

/** Sends requests until one has reached an endpoint. */
async function callUntilReached (index: number): Promise<void> {
  while (endpoint(index).requests.length === 0) await fixture.call('GET', '/read/')
}

async function callTimes (count: number): Promise<void> {
  for (let call = 0; call < count; call += 1) await fixture.call('GET', '/read/')
}

/** Changes the registration of an endpoint and waits until the router knows it. */
async function register (index: number, changes: Partial<EndpointEntry>): Promise<void> {
  const current = fixture.store.endpoints.changes.findLast(({ key }) => key === endpoint(index).id)?.value as EndpointEntry
  fixture.store.endpoints.put(current.id, { ...current, ...changes })
  fixture.store.endpoints.put('marker', { ...current, id: 'marker', service: 'other', ...changes })
  const isKnown = (): boolean => fixture.lines.some(({ event, fields }) => event === 'endpoint-registered' && fields.endpoint === 'marker')
  while (!isKnown()) await sleep(10)
}

// Guards against requests that go on reaching an endpoint which has said in its responses that it is leaving.
test('an endpoint that states in a response that it is leaving gets no more requests, though its registration says nothing of it', async () => {
  respondWith(FIRST, 200, { leaving: '1' })
  await callUntilReached(FIRST)
  await register(FIRST, { revision: 7 })
  await callTimes(10)
  expect(counts()[FIRST]).toBe(1)
})

test('the next incarnation of an endpoint that has left gets requests', async () => {
  respondWith(FIRST, 200, { leaving: '1' })
  await callUntilReached(FIRST)
  respondWith(FIRST, 200, {})
  await register(FIRST, { startedAt: 99 })
  await callTimes(20)
  expect(counts()[FIRST]).toBeGreaterThan(1)
})

test('the head of a stream is enough to know that its endpoint is leaving', async () => {
  for (const [index, headers] of [[FIRST, { leaving: '1' }], [SECOND, {}]] as const) {
    endpoint(index).behavior = (request, response) => {
      response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's', ...headers }).write('id: 1\ndata: a\n\n')
    }
  }
  const streams: Promise<unknown>[] = []
  while (endpoint(SECOND).requests.length < 4) {
    streams.push(fixture.call('POST', '/stream/', { deadline: '2000' }))
    await sleep(30)
  }
  expect(counts()[FIRST]).toBeLessThanOrEqual(1)
  await Promise.all(streams)
})

test('routers that follow one that knows of a leaving endpoint know it too', () => {
  const clock = { now: () => 1_000 }
  const [source, follower] = [new EndpointTable(clock, new SilentEventLog()), new EndpointTable(clock, new SilentEventLog())]
  const entry = { id: 'e', service: 's', address: 'a:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 1, revision: 1 }
  source.apply([{ key: 'e', value: entry }], undefined)
  source.recordLeaving(entry)
  source.apply([{ key: 'e', value: { ...entry, revision: 2 } }], undefined)
  follower.replace([...source.entries], undefined)
  expect([source.ready('s'), follower.ready('s')]).toEqual([[], []])
})

// Guards against requests to an endpoint that has just said for how long it wants none.
test('an endpoint that rejects a request with Retry-After gets none until that time is over', async () => {
  respondWith(FIRST, 503, { 'not-run': '1', 'retry-after': String(PAUSE_MS / 1_000) })
  await callUntilReached(FIRST)
  await callTimes(10)
  expect(counts()[FIRST]).toBe(1)
  respondWith(FIRST, 200, {})
  fixture.clock.skewMs += PAUSE_MS
  await callTimes(20)
  expect(counts()[FIRST]).toBeGreaterThan(1)
})

test('while all endpoints want no requests, callers are refused at once with the time of the first one', async () => {
  respondWith(FIRST, 503, { 'not-run': '1', 'retry-after': String(PAUSE_MS / 1_000) })
  respondWith(SECOND, 503, { 'not-run': '1', 'retry-after': String(2 * PAUSE_MS / 1_000) })
  await callUntilReached(FIRST)
  await callUntilReached(SECOND)
  const before = counts()
  const response = await fixture.call('POST', '/pay/')
  expect([response.status, JSON.parse(response.body).run, counts()]).toEqual([503, 'not-run', before])
  const retryAfterS = Number(response.headers['retry-after'])
  expect(retryAfterS).toBeGreaterThan(PAUSE_MS / 1_000 - 10)
  expect(retryAfterS).toBeLessThanOrEqual(PAUSE_MS / 1_000)
})

test('a call that waits for a connection is not sent to an endpoint that takes no more requests meanwhile', async () => {
  const connections = new EndpointConnections(() => Infinity)
  let received = 0
  let isUsable = true
  const server = createServer((socket) => socket.on('data', (bytes) => {
    received += 1
    const id = /request-id: (\S+)/.exec(bytes.toString())?.[1] ?? ''
    setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nsignature: s\r\nContent-Length: 0\r\n\r\n`), 30)
  }))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const pool = connections.pool({ id: 'e', service: 's', address, availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 0, revision: 0 }, true, 1)
  const calls = ['r1', 'r2'].map((id) => new EndpointCall({ id, method: 'GET', path: '/', headers: ['request-id', id], body: Buffer.alloc(0), isIdempotent: true }, plainCodec, {
    start: () => true, data: () => true, findProblem: () => undefined
  }, { mayStart: () => isUsable, headReceived: () => { isUsable = false } }))
  for (const call of calls) call.send(pool)
  const outcomes = await Promise.all(calls.map(async (call) => (await call.result).outcome))
  connections.closeAll()
  server.close()
  expect([outcomes, received]).toEqual([[CallOutcome.COMPLETE, CallOutcome.NOT_SENT], 1])
})
