import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'
import { waitUntil } from './wait-until.js'

const RETRY_MS = 50
let fixture: GatewayFixture
let endpoint: TestEndpoint

beforeEach(async () => {
  fixture = new GatewayFixture(0, 1_000)
  endpoint = new TestEndpoint('e1')
  await fixture.start()
})

afterEach(async () => {
  await fixture.stop()
  endpoint.close()
})

const countOf = (event: string): number => fixture.lines.filter((line) => line.event === event).length

// Guards against a limit that is dropped with the registration of its endpoint: until the endpoint stated it again it got requests without a limit, and an older
// statement of another router could take its place.
test('the limit of an endpoint outlasts a time in which it is not registered', async () => {
  const registration = await endpoint.start({ revision: 1 })
  endpoint.behavior = (request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's', limit: '5' }).end('x')
  }
  fixture.store.endpoints.put('e1', registration)
  await waitUntil(() => countOf('endpoint-registered') === 1)
  await fixture.call('POST', '/pay/')
  expect(countOf('endpoint-limit')).toBe(1)
  fixture.store.endpoints.put('e1', undefined)
  await waitUntil(() => countOf('endpoint-gone') === 1)
  fixture.store.endpoints.put('e1', { ...registration, revision: 2 })
  await waitUntil(() => countOf('endpoint-registered') === 2)
  // Permits for the endpoint come one after the other.
  let status = 0
  for (let attempt = 0; status !== 200; attempt += 1) {
    await sleep(RETRY_MS)
    status = (await fixture.call('POST', '/pay/', { 'request-id': `r2-${attempt}` })).status
  }
  expect(countOf('endpoint-limit')).toBe(1)
})
