import { afterEach, expect, test } from 'vitest'
import { EarlyServer } from '@mimosarock/stand-ins/early-server.js'
import type { EarlyServerOptions } from '@mimosarock/stand-ins/early-server-options.js'
import { ResponseEnding } from '@mimosarock/stand-ins/response-ending.js'
import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { waitUntil } from './wait-until.js'

/** Length of the uploads; more than the system holds of a connection of which nothing is read. */
const UPLOAD_BYTES = 24_000_000
const UPLOAD = 'u'.repeat(UPLOAD_BYTES)
const PART = 'id: 1\ndata: a\n\n'.repeat(1_000)
const BAD_GATEWAY = 502
const TEST_TIMEOUT_MS = 60_000
const ROUTES = ['/read/', '/pay/', '/stream/', '/resume/']

let fixture: GatewayFixture
let server: EarlyServer

afterEach(async () => {
  server.close()
  await fixture.stop()
})

/** Starts a router whose only endpoint is a server that answers early. */
async function start (options: EarlyServerOptions): Promise<void> {
  server = await EarlyServer.start(options)
  fixture = new GatewayFixture(1, 1_000, { registrations: [{ address: server.address, slots: 64 }] })
  await fixture.start()
  const configuration = createConfiguration(4)
  if (configuration.limits === undefined) throw new Error('the configuration has no limits')
  fixture.store.configurations.put('config', { ...configuration, limits: { ...configuration.limits, bodyBytes: UPLOAD_BYTES } })
  await waitUntil(async () => fixture.lines.some(({ event, fields }) => event === 'configuration-in-force' && fields.version === 4))
}

/** Returns the head of a response to a request that only the end of the connection ends. */
function headOf (requestHead: string, statusLine = 'HTTP/1.1 200 OK'): string {
  const id = /request-id: (\S+)/i.exec(requestHead)?.[1] ?? ''
  return `${statusLine}\r\nrequest-id: ${id}\r\nsignature: s\r\n`
}

const HEAD = 0
const MIDDLE = UPLOAD_BYTES / 2
const NEARLY_ALL = UPLOAD_BYTES - 100_000
/** Ends of the connection at points of the upload, in bytes received. What the system still holds of it when the server stops reading is far less than a half. */
const ENDINGS = [
  { ending: ResponseEnding.RESET, readsOn: false, delayMs: 0, points: [HEAD, MIDDLE, NEARLY_ALL] },
  { ending: ResponseEnding.RESET, readsOn: false, delayMs: 60, points: [HEAD, MIDDLE, NEARLY_ALL] },
  { ending: ResponseEnding.RESET, readsOn: true, delayMs: 5, points: [HEAD, MIDDLE, NEARLY_ALL] },
  { ending: ResponseEnding.RESET, readsOn: true, delayMs: 400, points: [HEAD, MIDDLE, NEARLY_ALL] },
  { ending: ResponseEnding.CLOSE, readsOn: false, delayMs: 5, points: [HEAD, MIDDLE] },
  { ending: ResponseEnding.END, readsOn: false, delayMs: 0, points: [HEAD] },
  { ending: ResponseEnding.END, readsOn: false, delayMs: 60, points: [HEAD] }
]

// Guards against MIXED: a part of a response without a length, sent while the request was still being written, was taken for a whole one when the connection ended.
test.each(ENDINGS.flatMap(({ points, ...end }) => points.map((afterBytes) => ({ afterBytes, ...end }))))(
  'a response without a length that ends during the upload is not whole (after $afterBytes bytes, $ending after $delayMs ms, read on: $readsOn)',
  async (options) => {
    await start({ ...options, answer: (head) => `${headOf(head)}\r\n${PART}` })
    for (const path of ROUTES) {
      const response = await fixture.call('POST', path, { 'request-id': path.slice(1, -1) }, UPLOAD)
      if (response.status === 200) expect([path, response.isWhole]).toEqual([path, false])
      else expect([path, response.status]).toEqual([path, BAD_GATEWAY])
    }
    expect(server.answers).toBeGreaterThanOrEqual(ROUTES.length)
  }, TEST_TIMEOUT_MS)

// Guards against rejections of whole answers that arrive early.
test('a response with a length that is whole is passed on, also if it arrives and the connection ends during the upload', async () => {
  await start({ afterBytes: 0, readsOn: true, ending: ResponseEnding.END, delayMs: 20, answer: (head) => `${headOf(head)}content-length: 5\r\nconnection: close\r\n\r\nwhole` })
  const response = await fixture.call('POST', '/read/', {}, UPLOAD)
  expect([response.status, response.body, response.isWhole]).toEqual([200, 'whole', true])
}, TEST_TIMEOUT_MS)

// Guards against MIXED: three digits that are no status, and status lines of other protocols, were passed on as answers with the signature of the endpoint.
test.each([
  '000', '001', '099', '600', '700', '999', '0', '99', '20', '1000', '-200', '2OO'
].map((status) => `HTTP/1.1 ${status} X`).concat(['RTSP/1.0 200 OK', 'HTTP/2.0 200 OK', 'HTTP/0.9 200 OK', 'HTTP/1.2 200 OK', 'ICE/1.0 200 OK', 'http/1.1 200 OK']))(
  'an answer with the status line "%s" is no answer', async (statusLine) => {
    const answer = (head: string): string => `${headOf(head, statusLine)}content-length: ${PART.length}\r\ncontent-type: text/event-stream\r\n\r\n${PART}`
    await start({ afterBytes: 0, readsOn: true, ending: undefined, delayMs: 0, answer })
    for (const path of ROUTES) {
      const response = await fixture.call('POST', path, { 'request-id': path.slice(1, -1) })
      expect([path, response.status, response.headers.signature]).toEqual([path, BAD_GATEWAY, undefined])
    }
  }, TEST_TIMEOUT_MS)

// Guards against a rejection of the statuses at the ends of the range.
test.each([200, 299, 404, 599])('an answer with the status %d is passed on', async (status) => {
  await start({ afterBytes: 0, readsOn: true, ending: undefined, delayMs: 0, answer: (head) => `\r\n${headOf(head, `HTTP/1.1 ${status}`)}content-length: 2\r\n\r\nok` })
  const response = await fixture.call('POST', '/pay/')
  expect([response.status, response.body]).toEqual([status, 'ok'])
})
