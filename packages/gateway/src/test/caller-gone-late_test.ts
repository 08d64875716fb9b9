import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { GatewayFixture } from './gateway-fixture.js'
import { waitUntil } from './wait-until.js'

const PIECE = 'x'.repeat(60_000)
const PIECES = 20

let fixture: GatewayFixture

afterEach(async () => await fixture.stop())

// Guards against LOST: bytes for a caller that has left are an error that ends the process, and with it all other requests.
test.each(['/pay/', '/stream/'])('a long response to a caller that has left ends nothing else (%s)', async (path) => {
  fixture = new GatewayFixture(1)
  await fixture.start()
  let written = 0
  const [endpoint] = fixture.endpoints
  if (endpoint === undefined) throw new Error('the fixture has no endpoint')
  endpoint.behavior = (request, response) => {
    const send = async (): Promise<void> => {
      await sleep(150)
      response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's', 'content-type': 'text/plain', 'content-length': PIECE.length * PIECES })
      for (written = 1; written <= PIECES; written += 1) {
        response.write(PIECE)
        await sleep(5)
      }
      response.end()
    }
    send().catch(() => undefined)
  }
  fixture.disconnectAfter(100, path)
  await waitUntil(async () => written > PIECES)
  await waitUntil(async () => fixture.lines.some(({ event }) => event === 'request'))
  endpoint.behavior = (request, response) => response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' }).end('ok')
  expect((await fixture.call('POST', '/pay/', { 'request-id': 'next' })).body).toBe('ok')
})
