import { afterEach, beforeEach, expect, test } from 'vitest'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'

let fixture: GatewayFixture

beforeEach(async () => {
  fixture = new GatewayFixture(2)
  await fixture.start()
})

afterEach(async () => await fixture.stop())

test('each call that failed leaves a line with the whole prompt, also if the request was answered elsewhere', async () => {
  let calls = 0
  for (const endpoint of fixture.endpoints) {
    endpoint.behavior = (request, response) => {
      calls += 1
      if (calls === 1) response.socket?.resetAndDestroy()
      else TestEndpoint.respond(request, response, 'answered')
    }
  }
  const response = await fixture.call('GET', '/read/', { prompt: 'a,b,c' })
  const failures = fixture.lines.filter(({ event }) => event === 'endpoint-call-failed').map(({ fields }) => fields)
  expect([response.status, failures.length]).toEqual([200, 1])
  expect(failures[0]).toMatchObject({ request: 'r1', route: 'read', outcome: 'no-answer', begun: false, prompt: 'a,b,c', load: 0, slots: 4 })
})
