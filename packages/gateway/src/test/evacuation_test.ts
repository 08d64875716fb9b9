import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { MemoryStore } from './memory-store.js'
import { TestEndpoint } from './test-endpoint.js'
import { waitUntil } from './wait-until.js'

/** Time after the return of the store at which the operator writes a lost record again. */
const REWRITTEN_AFTER_MS = 1_000
const REQUESTS = 20

let store: MemoryStore
let routers: GatewayFixture[]
let endpoints: TestEndpoint[]

beforeEach(() => {
  store = new MemoryStore()
  routers = []
  endpoints = []
})

afterEach(async () => {
  for (const router of routers) await router.stop()
  for (const endpoint of endpoints) endpoint.close()
})

/** Starts a router that knows those that run, as its seeds. */
async function startRouter (): Promise<GatewayFixture> {
  const router = new GatewayFixture(0, 1_000, { name: `vm${routers.length}`, store, seeds: () => routers.map(({ peers }) => peers) })
  await router.start()
  routers.push(router)
  return router
}

async function addEndpoint (changes: Partial<EndpointEntry>): Promise<TestEndpoint> {
  const endpoint = new TestEndpoint(`e${endpoints.length}`)
  endpoints.push(endpoint)
  store.endpoints.put(endpoint.id, await endpoint.start(changes))
  return endpoint
}

function configure (changes: Partial<GatewayConfiguration> = {}): void {
  store.configurations.put('config', { ...createConfiguration(3), ...changes })
}

async function waitForLine (router: GatewayFixture, event: string, value: unknown): Promise<void> {
  await waitUntil(() => router.lines.some((line) => line.event === event && Object.values(line.fields).includes(value)))
}

async function evacuate (router: GatewayFixture, zone: string): Promise<void> {
  store.putEvacuation(zone, true)
  await waitForLine(router, 'zone-evacuated', zone)
}

/** Sends requests; returns how many of them had each status. */
async function callOften (router: GatewayFixture): Promise<Record<number, number>> {
  const statuses: Record<number, number> = {}
  for (let count = 0; count < REQUESTS; count += 1) {
    const { status } = await router.call('GET', '/read/')
    statuses[status] = (statuses[status] ?? 0) + 1
  }
  return statuses
}

test('a stream that runs in an evacuated zone ends as it would, and new requests and retries go to other zones', async () => {
  configure()
  const evacuated = await addEndpoint({ availabilityZone: 'zb' })
  evacuated.behavior = (request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' }).write('id: 1\ndata: a\n\n')
    waitUntil(() => isReleased).then(() => response.end('id: 2\ndata: b\n\n'), () => undefined)
  }
  let isReleased = false
  const router = await startRouter()
  const running = router.call('POST', '/stream/')
  await waitUntil(() => evacuated.requests.length === 1)
  const other = await addEndpoint({ availabilityZone: 'za' })
  await evacuate(router, 'zb')
  await waitForLine(router, 'endpoint-registered', other.id)
  expect(await callOften(router)).toEqual({ 200: REQUESTS })
  other.behavior = TestEndpoint.reject
  expect(await callOften(router)).toEqual({ 503: REQUESTS })
  isReleased = true
  expect(await running).toMatchObject({ status: 200, isWhole: true, body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n' })
  expect(evacuated.requests.length).toBe(1)
})

test('a stream that breaks in an evacuated zone is resumed in another one', async () => {
  configure()
  const evacuated = [await addEndpoint({ availabilityZone: 'zb' }), await addEndpoint({ availabilityZone: 'zb' })]
  let response: ServerResponse | undefined
  for (const endpoint of evacuated) {
    endpoint.behavior = (request, begun) => {
      response = begun
      begun.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' }).write('id: 1\ndata: a\n\n')
    }
  }
  const router = await startRouter()
  const running = router.call('POST', '/resume/')
  await waitUntil(() => response !== undefined)
  const other = await addEndpoint({ availabilityZone: 'za' })
  other.behavior = (request, resumed) => {
    const headers = { 'request-id': request.headers['request-id'], signature: 's', 'content-type': 'text/event-stream' }
    resumed.writeHead(200, headers).end(`id: 2\ndata: after ${String(request.headers['last-event'])}\n\n`)
  }
  await evacuate(router, 'zb')
  await waitForLine(router, 'endpoint-registered', other.id)
  response?.socket?.resetAndDestroy()
  expect(await running).toMatchObject({ isWhole: true, body: 'id: 1\ndata: a\n\nid: 2\ndata: after 1\n\n' })
  expect(evacuated.map(({ requests }) => requests.length).sort()).toEqual([0, 1])
})

// Requests that were given to an endpoint before the evacuation may wait for a connection until long after it.
test('calls that wait for a connection to an evacuated endpoint go to another zone, and do not make it count as unreachable', async () => {
  configure({ services: [{ name: 'app', maximumConnections: 2 }] })
  const evacuated = await addEndpoint({ availabilityZone: 'zb', slots: 64 })
  const held: { readonly request: IncomingMessage, readonly response: ServerResponse }[] = []
  evacuated.behavior = (request, response) => held.push({ request, response })
  const router = await startRouter()
  const calls = Array.from({ length: 5 }, async () => await router.call('POST', '/pay/', { prompt: 'aa,bb' }))
  await waitUntil(() => held.length === 2 && router.lines.filter(({ event }) => event === 'request').length === 0)
  await sleep(100)
  const other = await addEndpoint({ availabilityZone: 'za', slots: 64 })
  await evacuate(router, 'zb')
  await waitForLine(router, 'endpoint-registered', other.id)
  for (const { request, response } of held) TestEndpoint.respond(request, response, 'held')
  const bodies = (await Promise.all(calls)).map(({ body }) => body).sort()
  expect(bodies).toEqual([...Array<string>(3).fill(`from ${other.id}`), 'held', 'held'])
  expect(evacuated.requests.length).toBe(2)
  expect(other.requests.map(({ headers }) => headers['copy-from'] !== undefined)).toContain(true)
})

test('with all endpoints of a service evacuated, its requests are refused as not run with a time to retry, also those that wait in the queue', async () => {
  configure({ routes: createConfiguration(3).routes.map((route) => ({ ...route, objectiveMs: 60_000, timeoutMs: 60_000 })) })
  const endpoint = await addEndpoint({ slots: 1, availabilityZone: 'zb' })
  endpoint.behavior = (request, response) => { waitUntil(() => isReleased).then(() => TestEndpoint.respond(request, response, 'late'), () => undefined) }
  let isReleased = false
  const router = await startRouter()
  const calls = Array.from({ length: 12 }, async () => await router.call('POST', '/pay/'))
  await waitUntil(() => endpoint.requests.length > 0)
  await sleep(100)
  const sent = endpoint.requests.length
  expect(sent).toBeLessThan(12)
  await evacuate(router, 'zb')
  const refused = await router.call('GET', '/read/')
  expect([refused.status, Number(refused.headers['retry-after']) > 0, JSON.parse(refused.body)]).toEqual([503, true, expect.objectContaining({ code: ResultCode.ENDPOINTS_EVACUATED, run: 'not-run' })])
  await waitUntil(() => router.lines.filter(({ event, fields }) => event === 'request' && fields.code === ResultCode.ENDPOINTS_EVACUATED).length === 13 - sent)
  isReleased = true
  const statuses = (await Promise.all(calls)).map(({ status }) => status)
  expect([statuses.filter((status) => status === 200).length, endpoint.requests.length]).toEqual([sent, sent])
  store.putEvacuation('zb', false)
  await waitForLine(router, 'zone-restored', 'zb')
  expect(await callOften(router)).toEqual({ 200: REQUESTS })
})

test('an evacuation lasts through an outage of the store, also on a router that starts in it and gets the configuration from a seed', async () => {
  configure()
  const evacuated = await addEndpoint({ availabilityZone: 'zb' })
  await addEndpoint({ availabilityZone: 'za' })
  const first = await startRouter()
  await evacuate(first, 'zb')
  for (const topic of [store.operatorRecords, store.endpoints, store.routers, store.crashes]) topic.isDown = true
  const second = await startRouter()
  expect([await callOften(second), await callOften(first)]).toEqual([{ 200: REQUESTS }, { 200: REQUESTS }])
  expect(second.lines.filter(({ event }) => event === 'zone-evacuated').map(({ fields }) => fields)).toEqual([{ zone: 'zb', source: 'vm0' }])
  expect(evacuated.requests.length).toBe(0)
})

test('an evacuation lasts while the store, back from an older copy, lacks its record until the operator writes it again', async () => {
  store.era.observe(1)
  configure()
  const evacuated = await addEndpoint({ availabilityZone: 'zb' })
  await addEndpoint({ availabilityZone: 'za' })
  const router = await startRouter()
  await evacuate(router, 'zb')
  store.operatorRecords.restore(1)
  store.era.observe(2)
  const restoredAt = performance.now()
  const starting = await startRouter()
  // By time, not by a number of rounds: on a busy machine these outlast the time in which the operator has to write again.
  while (performance.now() - restoredAt < REWRITTEN_AFTER_MS) {
    await sleep(50)
    await Promise.all([callOften(router), callOften(starting)])
  }
  store.putEvacuation('zb', true)
  await waitUntil(() => !store.era.isSettling)
  await Promise.all([callOften(router), callOften(starting)])
  expect(evacuated.requests.length).toBe(0)
  store.putEvacuation('zb', false)
  await Promise.all([waitForLine(router, 'zone-restored', 'zb'), waitForLine(starting, 'zone-restored', 'zb')])
})
