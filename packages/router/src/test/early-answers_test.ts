import { afterEach, expect, test } from 'vitest'
import { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { BoundedHttpClient } from '@mimosarock/router/http/bounded-http-client.js'
import { EndpointProbeClient } from '@mimosarock/router/watch/endpoint-probe-client.js'
import { EarlyServer } from '@mimosarock/stand-ins/early-server.js'
import { ResponseEnding } from '@mimosarock/stand-ins/response-ending.js'

const UPLOAD_BYTES = 24_000_000
const UPLOAD = Buffer.alloc(UPLOAD_BYTES, 'u')
const CHUNK_BYTES = 65_536
const PART = 'a'.repeat(20_000)
const TIMEOUT_MS = 20_000
const signal = new AbortController().signal
const closing: (() => void)[] = []

afterEach(() => {
  for (const close of closing.splice(0)) close()
})

/** Yields an upload whose length the client does not know. */
async function * chunks (): AsyncGenerator<Buffer> {
  for (let start = 0; start < UPLOAD_BYTES; start += CHUNK_BYTES) yield UPLOAD.subarray(start, start + CHUNK_BYTES)
}

/** Sends an upload to a server and returns the number of bytes of its response. */
async function upload (address: string, body: Buffer | AsyncIterable<Buffer>): Promise<number> {
  const client = new BoundedHttpClient({ address, connectTimeoutMs: TIMEOUT_MS, maximumConnections: 1 })
  closing.push(() => { client.destroy().catch(() => undefined) })
  const response = await client.send({ method: 'POST', path: '/', headers: {}, body, firstByteTimeoutMs: TIMEOUT_MS, silenceTimeoutMs: TIMEOUT_MS }, signal)
  let bytes = 0
  for await (const part of response.body) bytes += part.length
  return bytes
}

async function start (statusLine: string, headers: string, end: { readonly afterBytes: number, readonly readsOn: boolean, readonly ending: ResponseEnding | undefined, readonly delayMs: number }): Promise<EarlyServer> {
  const server = await EarlyServer.start({ ...end, answer: () => `${statusLine}\r\n${headers}\r\n${PART}` })
  closing.push(() => server.close())
  return server
}

// Guards against MIXED: a part of a response without a length was taken for a whole one when its connection was reset, during an upload or after it.
test.each([
  { ending: ResponseEnding.RESET, afterBytes: 0, readsOn: false, delayMs: 60 },
  { ending: ResponseEnding.RESET, afterBytes: 0, readsOn: true, delayMs: 60 },
  { ending: ResponseEnding.RESET, afterBytes: UPLOAD_BYTES / 2, readsOn: false, delayMs: 60 },
  { ending: ResponseEnding.RESET, afterBytes: UPLOAD_BYTES, readsOn: true, delayMs: 60 },
  { ending: ResponseEnding.CLOSE, afterBytes: 0, readsOn: false, delayMs: 60 },
  { ending: ResponseEnding.END, afterBytes: 0, readsOn: false, delayMs: 60 }
])('a response without a length is not whole if its connection ends early ($ending after $afterBytes bytes, read on: $readsOn)', async (end) => {
  const server = await start('HTTP/1.1 200 OK', '', end)
  await expect(upload(server.address, UPLOAD)).rejects.toThrow()
  await expect(upload(server.address, chunks())).rejects.toThrow()
})

// Guards against MIXED: three digits that are no status, and status lines of other protocols, were taken for answers.
test.each(['HTTP/1.1 000 X', 'HTTP/1.1 099 X', 'HTTP/1.1 600 X', 'HTTP/1.1 999 X', 'RTSP/1.0 200 OK', 'HTTP/2.0 200 OK', 'HTTP/0.9 200 OK'])('an answer with the status line "%s" is no answer', async (statusLine) => {
  const server = await start(statusLine, `content-length: ${PART.length}\r\n`, { afterBytes: 0, readsOn: true, ending: undefined, delayMs: 0 })
  const probe = new EndpointProbeClient(server.address, TIMEOUT_MS, new TrafficCounter())
  closing.push(() => { probe.close().catch(() => undefined) })
  await expect(upload(server.address, Buffer.from('short'))).rejects.toThrow()
  await expect(probe.getJson('/health', TIMEOUT_MS, signal)).rejects.toThrow()
})

// Guards against rejections of whole answers that end with their connection.
test('a response without a length is whole if its connection ends after the request', async () => {
  const server = await start('HTTP/1.1 200 OK', '', { afterBytes: 0, readsOn: true, ending: ResponseEnding.END, delayMs: 60 })
  expect(await upload(server.address, Buffer.from('short'))).toBe(PART.length)
})
