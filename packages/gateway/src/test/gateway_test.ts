import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { CallerLimits } from '@mimosarock/gateway/model/caller-limits.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'
import { waitUntil } from './wait-until.js'

let fixture: GatewayFixture

beforeEach(async () => {
  fixture = new GatewayFixture(2)
  await fixture.start()
})

afterEach(async () => await fixture.stop())

/** Sets the behavior of every endpoint. */
function setBehavior (behavior: TestEndpoint['behavior']): void {
  for (const endpoint of fixture.endpoints) endpoint.behavior = behavior
}

/** Sets one behavior for the first request and another for all later ones, at whichever endpoint. */
function firstThen (first: TestEndpoint['behavior'], later: TestEndpoint['behavior']): void {
  let calls = 0
  setBehavior((request, response, body) => {
    calls += 1
    const behavior = calls === 1 ? first : later
    behavior(request, response, body)
  })
}

const arrivals = (): number => fixture.endpoints.reduce((sum, endpoint) => sum + endpoint.requests.length, 0)

test('forwards a request and its response unchanged', async () => {
  const callerResponse = await fixture.call('POST', '/pay/a?b=c', { deadline: '3000', key: 'k1' }, 'body')
  expect([callerResponse.status, callerResponse.headers.signature, callerResponse.body.slice(0, 6)]).toEqual([200, 'signed', 'from e'])
  const [seen] = fixture.endpoints.flatMap((endpoint) => endpoint.requests)
  expect([seen?.url, seen?.body, seen?.headers['request-id']]).toEqual(['/pay/a?b=c', 'body', 'r1'])
  expect(Number(seen?.headers.deadline)).toBeLessThanOrEqual(3_000)
})

test('sends the priority of the workspace, else of the route, to the endpoint', async () => {
  for (const [path, key] of [['/read/', 'none'], ['/keyed/', 'k1'], ['/keyed/', 'k2']] as const) await fixture.call('GET', path, { key })
  const priorities = fixture.endpoints.flatMap((endpoint) => endpoint.requests).map(({ headers }) => headers.priority)
  expect(priorities.sort()).toEqual(['0', '1', '3'])
})

test('sends an unsigned error for requests that the configuration does not allow', async () => {
  const statuses = []
  for (const [path, headers] of [
    ['/none/', {}], ['/keyed/', {}], ['/keyed/', { key: 'wrong' }], ['/keyed/', { key: 'k1' }], ['/read/', { 'request-id': '' }]
  ] as const) {
    const callerResponse = await fixture.call('GET', path, headers)
    statuses.push([callerResponse.status, callerResponse.headers.signature])
  }
  expect(statuses).toEqual([[404, undefined], [401, undefined], [401, undefined], [200, 'signed'], [400, undefined]])
  expect(arrivals()).toBe(1)
})

test('rejects a request body or headers over the limit', async () => {
  const long = await fixture.call('POST', '/pay/', {}, 'x'.repeat(1_001))
  const head = await fixture.call('GET', '/read/', { filler: 'x'.repeat(2_001) })
  expect([long.status, head.status, arrivals()]).toEqual([413, 431, 0])
})

test('forwards a chunked body completely', async () => {
  await fixture.call('POST', '/pay/', { 'transfer-encoding': 'chunked' }, 'in chunks')
  expect(fixture.endpoints.flatMap((endpoint) => endpoint.requests).map((request) => request.body)).toEqual(['in chunks'])
})

test('does not retry an at-most-once request after a connection reset', async () => {
  setBehavior((_request, response) => response.socket?.resetAndDestroy())
  const callerResponse = await fixture.call('POST', '/pay/')
  expect([callerResponse.status, arrivals()]).toEqual([502, 1])
})

test('retries an at-most-once request after a response that states that it did not run', async () => {
  firstThen(TestEndpoint.reject, (request, response) => TestEndpoint.respond(request, response, 'second'))
  const callerResponse = await fixture.call('POST', '/pay/')
  expect([callerResponse.status, arrivals()]).toEqual([200, 2])
})

test('retries an idempotent request after a connection reset and after a server error', async () => {
  firstThen((_request, response) => response.socket?.resetAndDestroy(), (request, response) => TestEndpoint.respond(request, response, 'second'))
  expect((await fixture.call('GET', '/read/')).body).toBe('second')
  firstThen((request, response) => TestEndpoint.respond(request, response, 'bad', 500), (request, response) => TestEndpoint.respond(request, response, 'second'))
  expect((await fixture.call('GET', '/read/')).body).toBe('second')
})

test('delivers the server error of the first attempt if the retry gets no response', async () => {
  firstThen((request, response) => TestEndpoint.respond(request, response, 'kept', 500), (_request, response) => response.socket?.resetAndDestroy())
  const callerResponse = await fixture.call('GET', '/read/')
  expect([callerResponse.status, callerResponse.body, callerResponse.headers.signature, arrivals()]).toEqual([500, 'kept', 'signed', 2])
})

test('responds with not-run and Retry-After if every endpoint rejects the request', async () => {
  setBehavior(TestEndpoint.reject)
  const callerResponse = await fixture.call('POST', '/pay/')
  expect([callerResponse.status, Number(callerResponse.headers['retry-after']) > 0, JSON.parse(callerResponse.body).run]).toEqual([503, true, 'not-run'])
})

test('does not forward a response to another request', async () => {
  setBehavior((_request, response) => response.writeHead(200, { 'request-id': 'other', signature: 's' }).end('secret'))
  const callerResponse = await fixture.call('POST', '/pay/')
  expect([callerResponse.status, callerResponse.body.includes('secret'), callerResponse.headers.signature]).toEqual([502, false, undefined])
})

test('ends a broken stream as incomplete', async () => {
  setBehavior((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' })
    response.write('id: 1\ndata: a\n\n')
    setTimeout(() => response.socket?.resetAndDestroy(), 30)
  })
  const callerResponse = await fixture.call('POST', '/stream/')
  expect([callerResponse.status, callerResponse.body, callerResponse.isWhole, arrivals()]).toEqual([200, 'id: 1\ndata: a\n\n', false, 1])
})

test('resumes a resumable stream at another endpoint after the last complete event and keeps the first response head', async () => {
  firstThen((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 'first' })
    response.write('id: 1\ndata: a\n\nid: 2\nda')
    setTimeout(() => response.socket?.resetAndDestroy(), 30)
  }, (request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 'second' })
    response.end(`id: 2\ndata: after ${String(request.headers['last-event'])}\n\n`)
  })
  const callerResponse = await fixture.call('POST', '/resume/')
  expect([callerResponse.body, callerResponse.isWhole, callerResponse.headers.signature]).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: after 1\n\n', true, 'first'])
})

test('ends a stream as incomplete if its resumption gets an error', async () => {
  firstThen((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 'first' })
    response.write('id: 1\ndata: a\n\n')
    setTimeout(() => response.socket?.resetAndDestroy(), 30)
  }, (request, response) => TestEndpoint.respond(request, response, 'failed', 500))
  const callerResponse = await fixture.call('POST', '/resume/')
  expect([callerResponse.body, callerResponse.isWhole, arrivals()]).toEqual(['id: 1\ndata: a\n\n', false, 2])
})

test('aborts the endpoint call of a stream when the caller disconnects, but not that of an at-most-once request', async () => {
  setBehavior(() => undefined)
  fixture.disconnectAfter(50, '/stream/')
  await waitUntil(() => fixture.endpoints.some((endpoint) => endpoint.closedEarly === 1))
  fixture.disconnectAfter(50, '/pay/')
  await waitUntil(() => arrivals() === 2)
  await sleep(150)
  expect(fixture.endpoints.reduce((sum, endpoint) => sum + endpoint.closedEarly, 0)).toBe(1)
})

test('sends no request whose caller had disconnected before the request was read', async () => {
  const socket = fixture.connect()
  await once(socket, 'connect')
  socket.resume()
  socket.end('GET /read/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n')
  await once(socket, 'close')
  await waitUntil(() => fixture.lines.some(({ event, fields }) => event === 'request' && fields.code === ResultCode.CALLER_GONE))
  expect(arrivals()).toBe(0)
})

test('responds with run state unknown at the timeout of the route', async () => {
  setBehavior(() => undefined)
  const callerResponse = await fixture.call('POST', '/short/')
  expect([callerResponse.status, JSON.parse(callerResponse.body).run]).toEqual([504, 'unknown'])
})

test('rejects API keys that may have been revoked while the store is unreachable', async () => {
  fixture.store.configurations.isDown = true
  fixture.clock.skewMs = 6_000
  const keyed = await fixture.call('GET', '/keyed/', { key: 'k1' })
  const open = await fixture.call('GET', '/read/')
  expect([keyed.status, keyed.headers['retry-after'] !== undefined, open.status]).toEqual([503, true, 200])
})

test('adopts a newer configuration and ignores an older one', async () => {
  fixture.store.configurations.put('config', { ...createConfiguration(5), routes: [] })
  await waitUntil(async () => (await fixture.call('GET', '/read/')).status === 404)
  fixture.store.configurations.put('config', createConfiguration(4))
  await sleep(60)
  expect((await fixture.call('GET', '/read/')).status).toBe(404)
})

test('sends no requests to a draining endpoint', async () => {
  const [first] = fixture.endpoints
  const entry = fixture.store.endpoints.changes[0]?.value
  fixture.store.endpoints.put('e0', { ...entry as NonNullable<typeof entry>, isDraining: true })
  await waitUntil(() => fixture.lines.some((line) => line.event === 'endpoint-registered' && line.fields.draining === true))
  for (let call = 0; call < 6; call += 1) await fixture.call('GET', '/read/')
  expect(first?.requests.length).toBe(0)
})

test('sends a prompt to the endpoint that holds its context', async () => {
  for (let call = 0; call < 8; call += 1) await fixture.call('POST', '/stream/', { prompt: 'system,chat,turn' })
  expect(fixture.endpoints.map((endpoint) => endpoint.requests.length).sort()).toEqual([0, 8])
})

test('a stopping router fails readiness, serves requests that fit into the grace period, and rejects others as not run', async () => {
  await fixture.stop()
  fixture = new GatewayFixture(2, 4_000)
  await fixture.start()
  expect(await fixture.readiness()).toBe(200)
  const pendingResponses: (() => void)[] = []
  setBehavior((request, response) => pendingResponses.push(() => TestEndpoint.respond(request, response, 'late')))
  const stopped = fixture.stop()
  expect(await fixture.readiness()).toBe(503)
  const early = fixture.call('GET', '/read/')
  await waitUntil(() => fixture.lines.some((line) => line.event === 'refusing-long-requests'))
  const [long, short] = await Promise.all([fixture.call('GET', '/read/'), fixture.call('GET', '/short/')])
  expect([long.status, JSON.parse(long.body).run, short.status]).toEqual([503, 'not-run', 504])
  for (const respondNow of pendingResponses) respondNow()
  const callerResponse = await early
  expect([callerResponse.status, callerResponse.headers.connection]).toEqual([200, 'close'])
  await stopped
  expect(fixture.lines.map((line) => line.event)).toContain('stopped')
})

test('logs one line for each request with the reasons for its routing', async () => {
  await fixture.call('POST', '/pay/')
  const line = fixture.lines.find((candidate) => candidate.event === 'request')
  expect(line?.fields).toMatchObject({ request: 'r1', route: 'pay', service: 'app', configuration: 3, choice: 'least-loaded', tries: 1, status: 200, code: 0 })
})

test('logs the request id and the reason of a rejected request', async () => {
  await fixture.call('GET', '/keyed/', { key: 'wrong', 'request-id': 'r9' })
  const line = fixture.lines.find((candidate) => candidate.event === 'request')
  expect(line?.fields).toMatchObject({ request: 'r9', status: 401, tries: 0, problem: 'unknown API key' })
})

test('applies reloaded settings at once without interrupting requests', async () => {
  const pendingResponses: (() => void)[] = []
  setBehavior((request, response) => pendingResponses.push(() => TestEndpoint.respond(request, response, 'done')))
  const inFlight = fixture.call('GET', '/read/')
  await waitUntil(() => pendingResponses.length > 0)
  fixture.clock.skewMs = 3_000
  fixture.reload({ keyAgeLimitMs: 500, name: 'other', store: 'elsewhere:1', seeds: ['elsewhere:2'] })
  fixture.store.configurations.isDown = true
  expect((await fixture.call('GET', '/keyed/', { key: 'k1' })).status).toBe(503)
  for (const respondNow of pendingResponses) respondNow()
  expect((await inFlight).status).toBe(200)
  const line = fixture.lines.find((candidate) => candidate.event === 'reloaded')
  expect(line?.fields).toEqual({ applied: 'keyAgeLimitMs', at_next_start: 'name,seeds,store' })
})

test('closes an idle connection after the configured timeout', async () => {
  const configuration = createConfiguration(4)
  const limit = (version: number, idleTimeoutMs: number): void => {
    fixture.store.configurations.put('config', { ...configuration, version, limits: { ...configuration.limits as CallerLimits, idleTimeoutMs } })
  }
  const connection = fixture.connect()
  const closed = once(connection, 'close')
  const call = async (): Promise<string> => {
    connection.write('GET /read/ HTTP/1.1\r\nHost: h\r\nRequest-Id: idle\r\n\r\n')
    return String((await once(connection, 'data'))[0])
  }
  limit(4, 33_000)
  await waitUntil(async () => (await call()).includes('Keep-Alive: timeout=33'))
  limit(5, 100)
  await waitUntil(() => fixture.lines.some(({ fields }) => fields.configuration === 5 || fields.version === 5))
  await call()
  await closed
})
