import { afterEach, expect, test } from 'vitest'
import { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { BoundedHttpClient } from '@mimosarock/router/http/bounded-http-client.js'
import { HttpStatusCall } from '@mimosarock/router/operations/http-status-call.js'
import { HttpEngineOrderClient } from '@mimosarock/router/orders/http-engine-order-client.js'
import { EndpointProbeClient } from '@mimosarock/router/watch/endpoint-probe-client.js'
import { EndlessServer } from '@mimosarock/stand-ins/endless-server.js'

/** Bytes of a head, or of a body that is small, after which a connection has to be closed; buffers of the system take some of them. */
const MAXIMUM_BYTES = 8_000_000
/** The same for the body of a probe. */
const MAXIMUM_PROBE_BYTES = 25_000_000
const TIMEOUT_MS = 20_000
const signal = new AbortController().signal
const closing: (() => void)[] = []

afterEach(() => {
  for (const close of closing.splice(0)) close()
})

/** Calls of the router that keep or parse what a server answers. */
const CALLS: Readonly<Record<string, (address: string) => Promise<unknown>>> = {
  'a status call': async (address) => await new HttpStatusCall().readRunCount(address, '/runs', TIMEOUT_MS),
  'a read of an engine': async (address) => await new HttpEngineOrderClient().read(address, TIMEOUT_MS),
  'an order': async (address) => await new HttpEngineOrderClient().order({ address, models: [], adapters: [], role: 'mixed' } as never, 1, TIMEOUT_MS),
  'a probe': async (address) => {
    const client = new EndpointProbeClient(address, TIMEOUT_MS, new TrafficCounter())
    closing.push(() => { client.close().catch(() => undefined) })
    await client.getJson('/health', TIMEOUT_MS, signal)
  },
  'a call of an endpoint': async (address) => {
    const client = new BoundedHttpClient({ address, connectTimeoutMs: TIMEOUT_MS, maximumConnections: 1 })
    closing.push(() => { client.destroy().catch(() => undefined) })
    await client.send({ method: 'GET', path: '/', headers: {}, body: undefined, firstByteTimeoutMs: TIMEOUT_MS, silenceTimeoutMs: TIMEOUT_MS }, signal)
  }
}
const ANSWERS = [
  { what: 'headers', start: 'HTTP/1.1 200 OK\r\n', filler: 'a: b\r\n'.repeat(2_000) },
  { what: 'a reason phrase after an informational response', start: 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 ', filler: 'x'.repeat(16_384) }
]

// Guards against a router whose memory or processor a server without an end takes, long before the time of the call is over.
test.each(Object.keys(CALLS).flatMap((call) => ANSWERS.map((answer) => ({ call, ...answer }))))('$call is over when $what do not end', async ({ call, start, filler }) => {
  const server = await EndlessServer.start(start, filler)
  closing.push(() => server.close())
  await expect((CALLS[call] as (address: string) => Promise<unknown>)(server.address)).rejects.toThrow()
  expect(await server.sentBytes()).toBeLessThan(MAXIMUM_BYTES)
})

// Guards against the same by a body. The one of a call of an endpoint is passed on at the rate of its reader.
test.each([
  ['a status call', MAXIMUM_BYTES], ['a read of an engine', MAXIMUM_BYTES], ['a probe', MAXIMUM_PROBE_BYTES]
])('%s is over when a body does not end', async (call, maximumBytes) => {
  const server = await EndlessServer.start('HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(16_384))
  closing.push(() => server.close())
  await expect((CALLS[call] as (address: string) => Promise<unknown>)(server.address)).rejects.toThrow()
  expect(await server.sentBytes()).toBeLessThan(maximumBytes)
})
