import { request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'

const GRACE_MS = 2_000
/** Time from the begin of a stop after which requests that may last too long are refused. */
const REFUSING_MS = 1_100
/** Status of a request that was cut off without a response. */
const CUT_OFF = 0

let fixture: GatewayFixture

beforeEach(async () => {
  fixture = new GatewayFixture(1, GRACE_MS)
  await fixture.start()
})

afterEach(async () => await fixture.stop())

/** Begins a request that may run once; its body is not sent yet. */
function begin (id: string): { readonly call: ClientRequest, readonly response: Promise<IncomingMessage | undefined> } {
  const headers = { host: 'h', 'request-id': id, 'content-length': '4' }
  const call = httpRequest({ port: fixture.port, host: '127.0.0.1', path: '/pay/', method: 'POST', headers, agent: false })
  const response = new Promise<IncomingMessage | undefined>((resolve) => {
    call.on('response', resolve)
    call.on('error', () => resolve(undefined))
  })
  call.flushHeaders()
  return { call, response }
}

/** Status of a whole response. */
async function statusOf (response: IncomingMessage | undefined): Promise<number> {
  if (response === undefined) return CUT_OFF
  response.resume()
  await new Promise((resolve) => response.on('close', resolve))
  return response.complete ? response.statusCode as number : CUT_OFF
}

// Guards against LOST as operators have reported it: requests that were passed on in a planned stop were cut off at its end, with no answer.
test('at the end of a planned stop, requests that endpoints still work on are answered, as of unknown outcome', async () => {
  const [endpoint] = fixture.endpoints as [TestEndpoint]
  endpoint.behavior = () => undefined
  const requests = Array.from({ length: 12 }, (_, index) => begin(`r${index}`))
  for (const { call } of requests) call.end('body')
  await sleep(100)
  await fixture.stop()
  const statuses = await Promise.all(requests.map(async ({ response }) => await statusOf(await response)))
  const passedOn = new Set(endpoint.requests.map(({ headers }) => headers['request-id']))
  expect(passedOn.size).toBeGreaterThan(0)
  expect(statuses).toEqual(requests.map((_, index) => passedOn.has(`r${index}`) ? 504 : 503))
})

// Guards against LOST: a request whose head came before, and whose body came late in the stop, was passed on without the time that it may need.
test('a request whose body arrives late in a planned stop is refused as not run', async () => {
  const [endpoint] = fixture.endpoints as [TestEndpoint]
  const stopping = fixture.stop()
  await sleep(REFUSING_MS - 300)
  const { call, response } = begin('late')
  await sleep(400)
  call.end('body')
  expect(await statusOf(await response)).toBe(503)
  expect(endpoint.requests).toEqual([])
  await stopping
})
