import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { CallerLimits } from '@mimosarock/gateway/model/caller-limits.js'
import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'

let fixture: GatewayFixture

beforeEach(async () => {
  fixture = new GatewayFixture(2)
  await fixture.start()
})

afterEach(async () => await fixture.stop())

/** Lets every endpoint act the same way. */
function all (behaviour: TestEndpoint['behaviour']): void {
  for (const endpoint of fixture.endpoints) endpoint.behaviour = behaviour
}

/** Lets the first request act one way and all later ones another. */
function firstThen (first: TestEndpoint['behaviour'], later: TestEndpoint['behaviour']): void {
  let calls = 0
  all((request, response, body) => {
    calls += 1
    const behaviour = calls === 1 ? first : later
    behaviour(request, response, body)
  })
}

const arrivals = (): number => fixture.endpoints.reduce((sum, endpoint) => sum + endpoint.requests.length, 0)

/** Waits until something is so. */
async function until (condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!await condition()) await sleep(10)
}

test('a request reaches an endpoint unchanged, and its answer the caller', async () => {
  const answer = await fixture.call('POST', '/pay/a?b=c', { deadline: '3000', key: 'k1' }, 'body')
  expect([answer.status, answer.headers.signature, answer.body.slice(0, 6)]).toEqual([200, 'signed', 'from e'])
  const [seen] = fixture.endpoints.flatMap((endpoint) => endpoint.requests)
  expect([seen?.url, seen?.body, seen?.headers['request-id']]).toEqual(['/pay/a?b=c', 'body', 'r1'])
  expect(Number(seen?.headers.deadline)).toBeLessThanOrEqual(3_000)
})

test('an endpoint is told the rank of a request, the workspace\'s before the route\'s', async () => {
  for (const [path, key] of [['/read/', 'none'], ['/keyed/', 'k1'], ['/keyed/', 'k2']] as const) await fixture.call('GET', path, { key })
  const ranks = fixture.endpoints.flatMap((endpoint) => endpoint.requests).map(({ headers }) => headers.priority)
  expect(ranks.sort()).toEqual(['0', '1', '3'])
})

test('what the configuration does not allow is refused without a signature', async () => {
  const statuses = []
  for (const [path, headers] of [
    ['/none/', {}], ['/keyed/', {}], ['/keyed/', { key: 'wrong' }], ['/keyed/', { key: 'k1' }], ['/read/', { 'request-id': '' }]
  ] as const) {
    const answer = await fixture.call('GET', path, headers)
    statuses.push([answer.status, answer.headers.signature])
  }
  expect(statuses).toEqual([[404, undefined], [401, undefined], [401, undefined], [200, 'signed'], [400, undefined]])
  expect(arrivals()).toBe(1)
})

test('a body or a head over the limit is refused', async () => {
  const long = await fixture.call('POST', '/pay/', {}, 'x'.repeat(1_001))
  const head = await fixture.call('GET', '/read/', { filler: 'x'.repeat(2_001) })
  expect([long.status, head.status, arrivals()]).toEqual([413, 431, 0])
})

test('a body in chunks arrives whole', async () => {
  await fixture.call('POST', '/pay/', { 'transfer-encoding': 'chunked' }, 'in chunks')
  expect(fixture.endpoints.flatMap((endpoint) => endpoint.requests).map((request) => request.body)).toEqual(['in chunks'])
})

test('a call that may run once is not repeated after a reset', async () => {
  all((_request, response) => response.socket?.resetAndDestroy())
  const answer = await fixture.call('POST', '/pay/')
  expect([answer.status, arrivals()]).toEqual([502, 1])
})

test('a call that may run once goes to another endpoint after a statement that it did not run', async () => {
  firstThen(TestEndpoint.reject, (request, response) => TestEndpoint.answer(request, response, 'second'))
  const answer = await fixture.call('POST', '/pay/')
  expect([answer.status, arrivals()]).toEqual([200, 2])
})

test('an idempotent request is repeated after a reset and after a server error', async () => {
  firstThen((_request, response) => response.socket?.resetAndDestroy(), (request, response) => TestEndpoint.answer(request, response, 'second'))
  expect((await fixture.call('GET', '/read/')).body).toBe('second')
  firstThen((request, response) => TestEndpoint.answer(request, response, 'bad', 500), (request, response) => TestEndpoint.answer(request, response, 'second'))
  expect((await fixture.call('GET', '/read/')).body).toBe('second')
})

test('a server error that is ready is delivered when the second try has no answer', async () => {
  firstThen((request, response) => TestEndpoint.answer(request, response, 'kept', 500), (_request, response) => response.socket?.resetAndDestroy())
  const answer = await fixture.call('GET', '/read/')
  expect([answer.status, answer.body, answer.headers.signature, arrivals()]).toEqual([500, 'kept', 'signed', 2])
})

test('when every endpoint rejects, the caller learns that nothing ran and when to come back', async () => {
  all(TestEndpoint.reject)
  const answer = await fixture.call('POST', '/pay/')
  expect([answer.status, Number(answer.headers['retry-after']) > 0, JSON.parse(answer.body).run]).toEqual([503, true, 'not-run'])
})

test('an answer to another request never reaches the caller', async () => {
  all((_request, response) => response.writeHead(200, { 'request-id': 'other', signature: 's' }).end('secret'))
  const answer = await fixture.call('POST', '/pay/')
  expect([answer.status, answer.body.includes('secret'), answer.headers.signature]).toEqual([502, false, undefined])
})

test('a stream that breaks off does not look complete', async () => {
  all((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' })
    response.write('id: 1\ndata: a\n\n')
    setTimeout(() => response.socket?.resetAndDestroy(), 30)
  })
  const answer = await fixture.call('POST', '/stream/')
  expect([answer.status, answer.body, answer.isWhole, arrivals()]).toEqual([200, 'id: 1\ndata: a\n\n', false, 1])
})

test('a resumable stream goes on at another endpoint with whole events and the first head', async () => {
  firstThen((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 'first' })
    response.write('id: 1\ndata: a\n\nid: 2\nda')
    setTimeout(() => response.socket?.resetAndDestroy(), 30)
  }, (request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 'second' })
    response.end(`id: 2\ndata: after ${String(request.headers['last-event'])}\n\n`)
  })
  const answer = await fixture.call('POST', '/resume/')
  expect([answer.body, answer.isWhole, answer.headers.signature]).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: after 1\n\n', true, 'first'])
})

test('a stream whose rest is answered with an error does not look complete', async () => {
  firstThen((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 'first' })
    response.write('id: 1\ndata: a\n\n')
    setTimeout(() => response.socket?.resetAndDestroy(), 30)
  }, (request, response) => TestEndpoint.answer(request, response, 'failed', 500))
  const answer = await fixture.call('POST', '/resume/')
  expect([answer.body, answer.isWhole, arrivals()]).toEqual(['id: 1\ndata: a\n\n', false, 2])
})

test('a caller that leaves ends the work of a stream, and not that of a call that may run once', async () => {
  all(() => undefined)
  fixture.leaveAfter(50, '/stream/')
  await until(() => fixture.endpoints.some((endpoint) => endpoint.closedEarly === 1))
  fixture.leaveAfter(50, '/pay/')
  await until(() => arrivals() === 2)
  await sleep(150)
  expect(fixture.endpoints.reduce((sum, endpoint) => sum + endpoint.closedEarly, 0)).toBe(1)
})

test('a request past its route\'s timeout is answered, with no promise that it did not run', async () => {
  all(() => undefined)
  const answer = await fixture.call('POST', '/short/')
  expect([answer.status, JSON.parse(answer.body).run]).toEqual([504, 'unknown'])
})

test('keys that may have been taken away are not honoured', async () => {
  fixture.store.configurations.isDown = true
  fixture.clock.skewMs = 6_000
  const keyed = await fixture.call('GET', '/keyed/', { key: 'k1' })
  const open = await fixture.call('GET', '/read/')
  expect([keyed.status, keyed.headers['retry-after'] !== undefined, open.status]).toEqual([503, true, 200])
})

test('a new configuration comes into force, and an older one never does', async () => {
  fixture.store.configurations.put('config', { ...createConfiguration(5), routes: [] })
  await until(async () => (await fixture.call('GET', '/read/')).status === 404)
  fixture.store.configurations.put('config', createConfiguration(4))
  await sleep(60)
  expect((await fixture.call('GET', '/read/')).status).toBe(404)
})

test('an endpoint that drains gets no more work', async () => {
  const [first] = fixture.endpoints
  const entry = fixture.store.endpoints.changes[0]?.value
  fixture.store.endpoints.put('e0', { ...entry as NonNullable<typeof entry>, isDraining: true })
  await until(() => fixture.lines.some((line) => line.event === 'endpoint-registered' && line.fields.draining === true))
  for (let call = 0; call < 6; call += 1) await fixture.call('GET', '/read/')
  expect(first?.requests.length).toBe(0)
})

test('a prompt returns to the endpoint that holds its context', async () => {
  for (let call = 0; call < 8; call += 1) await fixture.call('POST', '/stream/', { prompt: 'system,chat,turn' })
  expect(fixture.endpoints.map((endpoint) => endpoint.requests.length).sort()).toEqual([0, 8])
})

test('a stopping router is not ready, serves what fits into the grace, and refuses the rest as not run', async () => {
  await fixture.stop()
  fixture = new GatewayFixture(2, 4_000)
  await fixture.start()
  expect(await fixture.readiness()).toBe(200)
  const held: (() => void)[] = []
  all((request, response) => held.push(() => TestEndpoint.answer(request, response, 'late')))
  const stopped = fixture.stop()
  expect(await fixture.readiness()).toBe(503)
  const early = fixture.call('GET', '/read/')
  await until(() => fixture.lines.some((line) => line.event === 'refusing-long-requests'))
  const [long, short] = await Promise.all([fixture.call('GET', '/read/'), fixture.call('GET', '/short/')])
  expect([long.status, JSON.parse(long.body).run, short.status]).toEqual([503, 'not-run', 504])
  for (const answerNow of held) answerNow()
  const answer = await early
  expect([answer.status, answer.headers.connection]).toEqual([200, 'close'])
  await stopped
  expect(fixture.lines.map((line) => line.event)).toContain('stopped')
})

test('each request leaves one line with what decided it', async () => {
  await fixture.call('POST', '/pay/')
  const line = fixture.lines.find((candidate) => candidate.event === 'request')
  expect(line?.fields).toMatchObject({ request: 'r1', route: 'pay', service: 'app', configuration: 3, choice: 'least-loaded', tries: 1, status: 200, code: 0 })
})

test('a refused request leaves its identity and the reason', async () => {
  await fixture.call('GET', '/keyed/', { key: 'wrong', 'request-id': 'r9' })
  const line = fixture.lines.find((candidate) => candidate.event === 'request')
  expect(line?.fields).toMatchObject({ request: 'r9', status: 401, tries: 0, problem: 'the key is not known' })
})

test('settings that are read anew are in force at once, while requests go on', async () => {
  const held: (() => void)[] = []
  all((request, response) => held.push(() => TestEndpoint.answer(request, response, 'done')))
  const inFlight = fixture.call('GET', '/read/')
  await until(() => held.length > 0)
  fixture.clock.skewMs = 3_000
  fixture.reload({ keyAgeLimitMs: 500, name: 'other', store: 'elsewhere:1' })
  fixture.store.configurations.isDown = true
  expect((await fixture.call('GET', '/keyed/', { key: 'k1' })).status).toBe(503)
  for (const answerNow of held) answerNow()
  expect((await inFlight).status).toBe(200)
  const line = fixture.lines.find((candidate) => candidate.event === 'reloaded')
  expect(line?.fields).toEqual({ applied: 'keyAgeLimitMs', at_next_start: 'name,store' })
})

test('an idle connection is kept as long as the configuration says, and then closed', async () => {
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
  await until(async () => (await call()).includes('Keep-Alive: timeout=33'))
  limit(5, 100)
  await until(() => fixture.lines.some(({ fields }) => fields.configuration === 5 || fields.version === 5))
  await call()
  await closed
})
