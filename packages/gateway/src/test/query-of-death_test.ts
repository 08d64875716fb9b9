import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { CallerResponse } from './caller-response.js'
import { GatewayFleet } from './gateway-fleet.js'
import { TestEndpoint } from './test-endpoint.js'

/** Time in which routers tell each other what they have learned, with a wide margin. */
const SPREADING_MS = 600
/** Requests that may reach endpoints until the culprit is known: five crashes, and three requests. */
const MAXIMUM_ARRIVALS = 8

let fleet: GatewayFleet

beforeEach(async () => {
  fleet = new GatewayFleet(3, 4)
  await fleet.start()
  for (const endpoint of fleet.endpoints) {
    endpoint.behavior = (request, response) => {
      if (isDeadly(String(request.headers.prompt))) return endpoint.crash()
      TestEndpoint.respond(request, response, 'id: 1\ndata: a\n\n')
    }
  }
})

afterEach(async () => await fleet.stop())

const isDeadly = (prompt: string): boolean => prompt.split(',').includes('d')

/** Sends a request with the deadly part among parts that sound requests have too, through one router after the other. */
async function sendDeadly (number: number, path: string): Promise<CallerResponse | undefined> {
  const router = fleet.routers[number % fleet.routers.length]
  return await router?.call('POST', path, { 'request-id': `deadly${number}`, prompt: `a,b,d,deadly${number}` })
}

async function sendSound (number: number): Promise<CallerResponse | undefined> {
  const router = fleet.routers[number % fleet.routers.length]
  return await router?.call('POST', '/stream/', { 'request-id': `sound${number}`, prompt: `a,b,sound${number}` })
}

// Guards against issue 26: one part of a prompt ended engine after engine, since no router remembered what an engine had begun when it ended.
test.each(['/stream/', '/resume/'])('requests with a prompt part that crashes endpoints stop reaching them, sound ones do not (%s)', async (path) => {
  let response: CallerResponse | undefined
  for (let number = 0; number < 12; number += 1) {
    response = await sendDeadly(number, path)
    await sleep(SPREADING_MS)
    await fleet.restartEndpoints()
    await sendSound(number)
  }
  expect(fleet.arrivals(isDeadly)).toBeLessThanOrEqual(MAXIMUM_ARRIVALS)
  expect([response?.status, Number(response?.headers['retry-after']) > 1]).toEqual([503, true])
  const sound = await Promise.all(fleet.routers.map((_router, number) => sendSound(100 + number)))
  expect(sound.map((answer) => answer?.status)).toEqual([200, 200, 200])
}, 30_000)
