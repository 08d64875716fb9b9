import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { GatewayFleet } from './gateway-fleet.js'
import { seededRandom } from './seeded-random.js'
import { TestEndpoint } from './test-endpoint.js'

let fleet: GatewayFleet

beforeEach(async () => {
  fleet = new GatewayFleet(2, 4)
  await fleet.start()
})

afterEach(async () => await fleet.stop())

/** Sends requests through one router after the other and returns their statuses. */
async function send (count: number, path: string, headers: Record<string, string> = {}): Promise<readonly number[]> {
  const statuses: number[] = []
  for (let number = 0; number < count; number += 1) {
    const router = fleet.routers[number % fleet.routers.length]
    statuses.push((await router?.call('GET', path, { 'request-id': `r${number}`, ...headers }))?.status ?? 0)
  }
  return statuses
}

const ejected = (): readonly unknown[] => fleet.routers.flatMap(({ lines }) => lines.filter(({ event }) => event === 'endpoint-ejected')).map(({ fields }) => fields.endpoint)

/** Sends requests until every router leaves out an endpoint, for at most some seconds. */
async function sendUntilEjected (path: string): Promise<void> {
  for (let round = 0; round < 40 && ejected().length < fleet.routers.length; round += 1) {
    await send(20, path)
    await sleep(50)
  }
}

// Guards against an endpoint that answers health checks and fails requests: complete answers counted as successes whatever their status.
test.each([
  ['server errors', (request, response) => TestEndpoint.respond(request, response, 'bad', 500)],
  ['resets', (_request, response) => response.socket?.resetAndDestroy()]
] as readonly (readonly [string, TestEndpoint['behavior']])[])('an endpoint that fails half of its requests by %s is left out by all routers', async (_, behavior) => {
  const failing = fleet.endpoints[1] as TestEndpoint
  // A router that sees several failures in a row leaves the endpoint out by itself.
  const random = seededRandom(3)
  failing.behavior = (request, response, body) => {
    if (random() < 0.5) behavior(request, response, body)
    else TestEndpoint.respond(request, response, 'ok')
  }
  await sendUntilEjected('/stream/')
  expect(ejected()).toEqual([failing.id, failing.id])
  const before = failing.requests.length
  expect(await send(20, '/stream/')).toEqual(Array.from({ length: 20 }, () => 200))
  expect(failing.requests.length).toBe(before)
})

// Guards against endpoints that are left out for what callers or other requests do.
test.each([
  ['mistakes of callers', (request, response) => TestEndpoint.respond(request, response, 'bad', 422)],
  ['rejections', (request, response) => TestEndpoint.reject(request, response)]
] as readonly (readonly [string, TestEndpoint['behavior']])[])('an endpoint with %s is not left out', async (_, behavior) => {
  (fleet.endpoints[1] as TestEndpoint).behavior = behavior
  for (let round = 0; round < 8; round += 1) {
    await send(20, '/stream/')
    await sleep(50)
  }
  expect(ejected()).toEqual([])
})

test('an endpoint that crashes on requests is not left out after its restart', async () => {
  const failing = fleet.endpoints[1] as TestEndpoint
  for (let round = 0; round < 4; round += 1) {
    failing.behavior = () => failing.crash()
    await Promise.all(Array.from({ length: 12 }, async () => await send(1, '/stream/')))
    await sleep(250)
    failing.behavior = (request, response) => TestEndpoint.respond(request, response, 'restarted')
    await fleet.restartEndpoints()
  }
  expect(ejected()).toEqual([])
})
