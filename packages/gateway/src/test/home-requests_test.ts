import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import type { Route } from '@mimosarock/gateway/model/route.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { CallerResponse } from './caller-response.js'
import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'

const REGIONS = { z0: 'north', z1: 'south', z2: 'west' }
const HOME = { objectiveMs: 4_000, timeoutMs: 10_000, maximumAttempts: 4 }
/** Requests that the router has in flight at an endpoint with one slot before others are queued. */
const ROOM = 4

let fixture: GatewayFixture

beforeEach(async () => {
  // Two endpoints in the region north, one in south, one in west, and one in a zone without a region.
  const registrations = ['z0', 'z0', 'z1', 'z2', 'z3'].map((availabilityZone) => ({ availabilityZone, slots: 1 }))
  fixture = new GatewayFixture(registrations.length, 1_000, { registrations, settings: { regions: REGIONS } })
  await fixture.start()
})

afterEach(async () => await fixture.stop())

/** Returns a configuration in which the routes and the workspace `w` have home regions. */
function configurationWith (version: number, ofRoutes: Partial<Route>, ofWorkspace?: readonly string[]): GatewayConfiguration {
  const { workspaces, ...base } = createConfiguration(version)
  return {
    ...base,
    routes: base.routes.map((route) => ({ ...route, ...HOME, ...ofRoutes })),
    workspaces: workspaces?.map((workspace) => workspace.name === 'w' ? { ...workspace, homeRegions: ofWorkspace } : workspace)
  }
}

/** Puts a configuration in force. */
async function configure (configuration: GatewayConfiguration): Promise<void> {
  fixture.store.configurations.put('config', configuration)
  const isInForce = () => fixture.lines.some(({ event, fields }) => event === 'configuration-in-force' && fields.version === configuration.version)
  while (!isInForce()) await sleep(5)
}

const arrivals = (): number[] => fixture.endpoints.map(({ requests }) => requests.length)
const send = (count: number, path: string, headers: Record<string, string> = {}): Promise<CallerResponse>[] => Array.from({ length: count }, (_, index) => fixture.call('POST', path, { ...headers, 'request-id': `${path}${index}` }))
const statusesOf = async (responses: readonly Promise<CallerResponse>[]): Promise<number[]> => (await Promise.all(responses)).map(({ status }) => status)
const codeOf = ({ body }: CallerResponse): unknown => (JSON.parse(body) as { code: number }).code

/** Lets endpoints hold each request until it is released, and returns what releases them and waits for an arrival. */
function hold () {
  const held: (() => void)[] = []
  for (const endpoint of fixture.endpoints) {
    endpoint.behavior = (request, response) => held.push(() => TestEndpoint.respond(request, response, endpoint.id))
  }
  return {
    release: (count: number) => { for (const respond of held.splice(0, count)) respond() },
    arrived: async (count: number) => { while (arrivals().reduce((sum, each) => sum + each) < count) await sleep(5) }
  }
}

test('a rejected request and its retries reach endpoints of the home region alone, and the refusal says that it did not run', async () => {
  await configure(configurationWith(4, { homeRegions: ['north'] }))
  for (const endpoint of fixture.endpoints) endpoint.behavior = (request, response) => TestEndpoint.reject(request, response)
  const response = await fixture.call('POST', '/pay/')
  expect([response.status, codeOf(response), JSON.parse(response.body).run]).toEqual([503, ResultCode.HOME_UNAVAILABLE, 'not-run'])
  expect(arrivals()).toEqual([1, 1, 0, 0, 0])
  expect(fixture.lines.find(({ event }) => event === 'request')?.fields.homes).toBe('north')
})

test('a broken stream is resumed in the home region alone, and ends as incomplete if no endpoint is left there', async () => {
  await configure(configurationWith(4, { homeRegions: ['north'] }))
  for (const endpoint of fixture.endpoints) {
    endpoint.behavior = (request, response) => {
      response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 'signed', 'content-type': 'text/event-stream' })
      response.write('id: 1\ndata: x\n\n', () => response.socket?.resetAndDestroy())
    }
  }
  const response = await fixture.call('GET', '/resume/')
  expect([response.status, response.isWhole, arrivals()]).toEqual([200, false, [1, 1, 0, 0, 0]])
})

test('without an endpoint that both lists allow, a request is refused at once, with the time after which to retry', async () => {
  const refused = [[['north'], ['south']], [['east'], undefined], [[], undefined]] as const
  for (const [index, [ofRoutes, ofWorkspace]] of refused.entries()) {
    await configure(configurationWith(4 + index, { homeRegions: ofRoutes }, ofWorkspace))
    const response = await fixture.call('GET', '/keyed/', { key: 'k1' })
    expect([response.status, codeOf(response), response.headers['retry-after']]).toEqual([503, ResultCode.HOME_UNAVAILABLE, '1'])
  }
  const lines = fixture.lines.filter(({ event }) => event === 'request').map(({ fields }) => [fields.waited_ms, fields.tries])
  expect([lines, arrivals()]).toEqual([refused.map(() => [0, 0]), [0, 0, 0, 0, 0]])
  expect(fixture.lines.filter(({ event }) => event === 'home-region-unknown')).toHaveLength(1)
})

test('requests whose homes are full are queued there, and neither take capacity elsewhere nor delay requests that may run there', async () => {
  await configure(configurationWith(4, {}, ['south']))
  const { release, arrived } = hold()
  const atHome = send(ROOM + 2, '/keyed/', { key: 'k1' })
  await arrived(ROOM)
  const others = send(1, '/keyed/', { key: 'k2' })
  await arrived(ROOM + 1)
  expect(arrivals()[2]).toBe(ROOM)
  for (let count = 0; count < ROOM + 3; count += 1) {
    await arrived(Math.min(ROOM + 3, ROOM + 1 + count))
    release(1)
  }
  expect([new Set(await statusesOf([...atHome, ...others])), arrivals()[2]]).toEqual([new Set([200]), ROOM + 2])
  const waited = fixture.lines.filter(({ event, fields }) => event === 'request' && Number(fields.waited_ms) > 0)
  expect(waited.map(({ fields }) => fields.workspace)).toEqual(['w', 'w'])
})

test('a request whose homes change while it is queued waits again if they are full, and is not admitted by the room of the old ones', async () => {
  const split = configurationWith(4, { homeRegions: ['south'] })
  await configure({ ...split, routes: split.routes.map((route) => route.name === 'short' ? { ...route, homeRegions: ['west'] } : route) })
  const { release, arrived } = hold()
  const inSouth = send(ROOM + 1, '/pay/')
  await arrived(ROOM)
  const inWest = send(ROOM, '/short/')
  await arrived(2 * ROOM)
  const allWest = configurationWith(5, { homeRegions: ['west'] })
  await configure({ ...allWest, routes: allWest.routes.map((route) => route.name === 'read' ? { ...route, homeRegions: ['north'] } : route) })
  release(ROOM)
  expect(await statusesOf(inSouth.slice(0, ROOM))).toEqual(inWest.map(() => 200))
  // Round trips at other endpoints, in which a request that was sent too early would have arrived.
  for (const endpoint of fixture.endpoints.slice(0, 2)) endpoint.behavior = (request, response) => TestEndpoint.respond(request, response, endpoint.id)
  for (let count = 0; count < 10; count += 1) await fixture.call('GET', '/read/')
  expect(arrivals().slice(2)).toEqual([ROOM, ROOM, 0])
  release(1)
  await arrived(2 * ROOM + 11)
  expect(arrivals().slice(2)).toEqual([ROOM, ROOM + 1, 0])
  release(ROOM)
  await Promise.all([...inSouth, ...inWest])
})

test('a request whose homes change while it waits for a connection is not written to an endpoint outside the new ones, which counts as healthy', async () => {
  const connections = 2
  const withFewConnections = (version: number, ...homeRegions: string[]): GatewayConfiguration => {
    return { ...configurationWith(version, { homeRegions }), services: [{ name: 'app', maximumConnections: connections }] }
  }
  await configure(withFewConnections(4, 'south'))
  const { release, arrived } = hold()
  const responses = send(ROOM, '/pay/')
  await arrived(connections)
  await configure(withFewConnections(5, 'west'))
  release(connections)
  await arrived(ROOM)
  expect(arrivals()).toEqual([0, 0, connections, ROOM - connections, 0])
  await configure(withFewConnections(6, 'north', 'south'))
  const later = send(3, '/short/')
  await arrived(ROOM + later.length)
  expect(arrivals().slice(0, 3)).toEqual([1, 1, connections + 1])
  release(ROOM + later.length)
  expect(await statusesOf([...responses, ...later])).toEqual([...responses, ...later].map(() => 200))
})

test('a request that is queued when its homes lose their only endpoint is refused as not run, and not sent elsewhere', async () => {
  await configure(configurationWith(4, { homeRegions: ['south'] }))
  const { release, arrived } = hold()
  const responses = send(ROOM + 1, '/pay/')
  await arrived(ROOM)
  fixture.store.endpoints.put('e2', undefined)
  const first = await Promise.race(responses)
  expect([first.status, codeOf(first)]).toEqual([503, ResultCode.HOME_UNAVAILABLE])
  release(ROOM)
  expect((await statusesOf(responses)).filter((status) => status === 200)).toHaveLength(ROOM)
  expect(arrivals()).toEqual([0, 0, ROOM, 0, 0])
})
