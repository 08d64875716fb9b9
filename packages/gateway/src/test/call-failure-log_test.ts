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

// Issue 32: the log could not tell whether it was the same request that had lost several endpoints, since each repeat has an id of its own.
test('repeats of a request have the same fingerprint in the log, other requests another one', async () => {
  for (const endpoint of fixture.endpoints) endpoint.behavior = (_request, response) => { response.socket?.resetAndDestroy() }
  await fixture.call('POST', '/pay/a', { 'request-id': 'r1' }, 'body')
  await fixture.call('POST', '/pay/a', { 'request-id': 'r2' }, 'body')
  const others: readonly [string, string, string][] = [['POST', '/pay/b', 'body'], ['POST', '/pay/a', 'other'], ['PUT', '/pay/a', 'body'], ['POST', '/pay/a?q', 'body']]
  for (const [method, path, body] of others) await fixture.call(method, path, { 'request-id': 'r3' }, body)
  const [first, ...rest] = fixture.lines.filter(({ event }) => event === 'endpoint-call-failed').map(({ fields }) => fields.fingerprint)
  expect(rest[0]).toBe(first)
  expect(new Set(rest.slice(1)).size).toBe(others.length)
  expect(rest.slice(1)).not.toContain(first)
  expect(fixture.lines.filter(({ event, fields }) => event === 'request' && fields.fingerprint === first).length).toBe(2)
})
