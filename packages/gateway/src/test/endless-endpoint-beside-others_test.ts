import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { Route } from '@mimosarock/gateway/model/route.js'
import { RouteKind } from '@mimosarock/gateway/model/route-kind.js'
import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { waitUntil } from './wait-until.js'

const CALLERS = 40
/** Time after which a caller that was refused tries again. */
const RETRY_MS = 10
const SOUND_CALLS = 100
/** Bytes of a response from which it is cut off, in this test. */
const MAXIMUM_RESPONSE_BYTES = 4_000_000
/** Calls of the faulty endpoint: those that its slots take at once, in each of some pauses that double, and their second tries. */
const MAXIMUM_FAULTY_CALLS = 80
const FILLER = 'x'.repeat(16_384)
const HEADERS = 'a: b\r\n'.repeat(2_000)
const TEST_TIMEOUT_MS = 60_000

let fixture: GatewayFixture

beforeEach(async () => {
  fixture = new GatewayFixture(2, 1_000, { registrations: [{}, { service: 'faulty' }], settings: { maximumResponseBytes: MAXIMUM_RESPONSE_BYTES } })
  await fixture.start()
  const configuration = createConfiguration(4)
  const faulty = { ...configuration.routes[0] as Route, name: 'faulty', pathPrefix: '/faulty/', kind: RouteKind.STREAM, shares: [{ service: 'faulty', weight: 1 }] }
  fixture.store.configurations.put('config', { ...configuration, routes: [...configuration.routes, faulty], services: [...configuration.services, { name: 'faulty', maximumConnections: 50 }] })
  await waitUntil(async () => await fixture.readiness() === 200)
  await waitUntil(async () => (await fixture.call('GET', '/faulty/x')).status === 200)
})

afterEach(async () => await fixture.stop())

/** Sends a text and then another one without end, until the connection is closed. */
async function sendWithoutEnd ({ socket }: ServerResponse, start: string, filler: string): Promise<void> {
  if (socket === null) return
  socket.on('error', () => undefined)
  socket.write(start)
  while (!socket.destroyed) {
    if (!socket.write(filler)) await Promise.race([once(socket, 'drain'), once(socket, 'close')])
  }
}

const headOf = ({ headers }: IncomingMessage): string => `HTTP/1.1 200 OK\r\nrequest-id: ${headers['request-id'] as string}\r\nsignature: s\r\n`

// Guards against LOST and late answers as operators of other systems saw them: an endpoint whose answers do not end took memory and processor from all other requests of the router.
test.each([
  { what: 'headers', start: () => 'HTTP/1.1 200 OK\r\n', filler: HEADERS },
  { what: 'trailers', start: (request: IncomingMessage) => `${headOf(request)}Transfer-Encoding: chunked\r\n\r\n0\r\n`, filler: HEADERS },
  { what: 'a reason phrase after an informational response', start: () => 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 ', filler: FILLER },
  { what: 'an event', start: (request: IncomingMessage) => `${headOf(request)}content-type: text/event-stream\r\n\r\ndata: `, filler: FILLER },
  { what: 'a body', start: (request: IncomingMessage) => `${headOf(request)}\r\n`, filler: FILLER }
])('beside many calls of an endpoint that sends $what without end, all sound requests are served, and it gets few calls', async ({ start, filler }) => {
  const [, faulty] = fixture.endpoints
  if (faulty === undefined) throw new Error('the fixture has no second endpoint')
  const callsBefore = faulty.requests.length
  faulty.behavior = (request, response) => { sendWithoutEnd(response, start(request), filler).catch(() => undefined) }
  const ending = new AbortController()
  const callers = Array.from({ length: CALLERS }, async (_, index) => {
    while (!ending.signal.aborted) {
      await fixture.call('GET', '/faulty/x', { 'request-id': `f${index}` }).catch(() => undefined)
      await sleep(RETRY_MS)
    }
  })
  const statuses = new Set<number>()
  for (let index = 0; index < SOUND_CALLS; index += 1) statuses.add((await fixture.call('GET', '/read/x', { 'request-id': `s${index}` })).status)
  ending.abort()
  await Promise.all(callers)
  expect([...statuses]).toEqual([200])
  expect(faulty.requests.length - callsBefore).toBeLessThan(MAXIMUM_FAULTY_CALLS)
}, TEST_TIMEOUT_MS)
