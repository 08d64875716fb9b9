import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { RouterFixture } from './router-fixture.js'

const fixture = new RouterFixture()
const JSON_HEADERS = 'host: x\r\ncontent-type: application/json\r\nmimosarock-workspace: alpha\r\n'

beforeAll(async () => {
  await fixture.start(1, 1)
  await fixture.configure()
})
afterAll(async () => await fixture.stop())

/** A raw connection to the router that records everything received. */
class RawCaller {
  readonly socket: Socket
  received = ''
  closed = false

  constructor () {
    const [host, port] = (fixture.addresses[0]?.callers ?? '').split(':')
    this.socket = connect(Number(port), host)
    this.socket.on('data', (bytes) => { this.received += bytes.toString() })
    this.socket.on('close', () => { this.closed = true })
    this.socket.on('error', () => {})
  }
}

async function stillServes (): Promise<boolean> {
  const response = await fetch(`${fixture.url(0)}/v1/models`, { headers: { 'mimosarock-workspace': 'alpha' } })
  return response.ok
}

describe('incomplete and malformed requests are rejected, and the router continues to serve', () => {
  const cases: Array<[string, string, number, string]> = [
    ['incomplete header section', `POST /v1/chat/completions HTTP/1.1\r\n${JSON_HEADERS}`, 2013, '408'],
    ['input that is not HTTP', '\u0016\u0003\u0001 not http at all\r\n\r\n', 2010, '400'],
    ['conflicting content lengths', `POST /v1/chat/completions HTTP/1.1\r\n${JSON_HEADERS}content-length: 2\r\ncontent-length: 3\r\n\r\n{}`, 2010, '400'],
    ['header section over the size limit', `GET /v1/models HTTP/1.1\r\n${JSON_HEADERS}x-large: ${'x'.repeat(40_000)}\r\n\r\n`, 2004, '431']
  ]
  test.each(cases)('%s', async (_, bytes, code, status) => {
    const caller = new RawCaller()
    caller.socket.write(bytes)
    await fixture.until(() => caller.closed)
    expect(caller.received).toContain(`HTTP/1.1 ${status}`)
    expect(caller.received).toContain(`"code":${code}`)
    expect(caller.received).toContain('"run":"not-run"')
    expect(await stillServes()).toBe(true)
  })

  test('incomplete body on a connection that stays open', async () => {
    const caller = new RawCaller()
    caller.socket.write(`POST /v1/chat/completions HTTP/1.1\r\n${JSON_HEADERS}content-length: 500\r\n\r\n{"model":`)
    await fixture.until(() => caller.closed)
    expect(caller.received).toContain('"code":2013')
    expect(fixture.engines[0]?.counts.completions).toBe(0)
    expect(await stillServes()).toBe(true)
  })
})

test('a model name that can not be decoded is an unknown model', async () => {
  const response = await fetch(`${fixture.url(0)}/v1/models/%`, { headers: { 'mimosarock-workspace': 'alpha' } })
  expect([response.status, (await response.json() as { code: number }).code]).toEqual([404, 2007])
})

test('responds to pipelined requests in order', async () => {
  const caller = new RawCaller()
  const requestFor = (path: string): string => `GET ${path} HTTP/1.1\r\n${JSON_HEADERS}\r\n`
  caller.socket.write(requestFor('/v1/models') + requestFor('/v1/models/nothing') + requestFor('/livez'))
  await fixture.until(() => caller.received.includes('\r\nok'))
  caller.socket.destroy()
  const statuses = [...caller.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1])
  expect(statuses).toEqual(['200', '404', '200'])
})

test('cancels the stream at the engine when the caller disconnects', async () => {
  const engine = fixture.engines[0]
  const disconnect = new AbortController()
  const response = await fetch(`${fixture.url(0)}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'mimosarock-workspace': 'alpha' },
    body: JSON.stringify({ model: 'assistant', messages: [{ role: 'user', content: 'a very long answer' }], max_tokens: 100_000, stream: true }),
    signal: disconnect.signal
  })
  await response.body?.getReader().read()
  expect(engine?.runningCount).toBe(1)
  disconnect.abort()
  await fixture.until(() => engine?.runningCount === 0)
})
