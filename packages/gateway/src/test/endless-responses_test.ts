import { afterEach, expect, test } from 'vitest'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { EndpointCall } from '@mimosarock/gateway/sending/endpoint-call.js'
import { EndpointConnections } from '@mimosarock/gateway/sending/endpoint-connections.js'
import { EndlessServer } from '@mimosarock/stand-ins/endless-server.js'
import { plainCodec } from './plain-codec.js'

/** Bytes of a response head, or of a body that nobody needs, after which a call has to end; buffers of the system take some of them. */
const MAXIMUM_HEAD_BYTES = 8_000_000
/** Bytes of a body after which a call has to end. */
const MAXIMUM_BODY_BYTES = 80_000_000
const MAXIMUM_RESPONSE_BYTES = 67_108_864
const FILLER = 'x'.repeat(16_384)
const HEAD = 'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nsignature: s\r\n'
/** Answers that count as invalid, or as a rejection, before they turn out to have no end. */
const COUNTED_OTHERWISE = ['bytes that are not HTTP', 'the body of a rejection']
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`

const connections = new EndpointConnections(() => MAXIMUM_RESPONSE_BYTES)
const servers: EndlessServer[] = []

afterEach(() => {
  connections.closeAll()
  for (const server of servers.splice(0)) server.close()
})

/** Calls an endpoint that sends without end. Returns the outcome and the number of bytes that the endpoint had sent by then. */
async function call (start: string, filler: string): Promise<{ outcome: string, isEndless: boolean, bytes: number }> {
  const server = await EndlessServer.start(start, filler)
  servers.push(server)
  const { address } = server
  const endpointCall = new EndpointCall({ id: 'r1', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), isIdempotent: true }, plainCodec, {
    start: () => true, data: () => true, findProblem: () => undefined
  })
  endpointCall.send(connections.pool({ id: address, service: 's', address, availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 0, revision: 0 }, true, 1))
  const { outcome, isEndless } = await endpointCall.result
  return { outcome, isEndless: isEndless === true, bytes: await server.sentBytes() }
}

// Guards against endpoints whose bytes never end: the router must close the connection, and neither wait nor keep them all.
test.each([
  ['bytes that are not HTTP', '', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a reason phrase', 'HTTP/1.1 200 ', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a header name', 'HTTP/1.1 200 OK\r\n', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a header value', 'HTTP/1.1 200 OK\r\na: ', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['headers', 'HTTP/1.1 200 OK\r\n', 'a: b\r\n'.repeat(2_000), CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a reason phrase after an informational response', 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 ', FILLER, CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['informational responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500), CallOutcome.NO_ANSWER, MAXIMUM_HEAD_BYTES],
  ['a chunk extension', `${CHUNKED}1;`, FILLER, CallOutcome.BROKEN, MAXIMUM_HEAD_BYTES],
  ['trailers', `${CHUNKED}0\r\n`, 'a: b\r\n'.repeat(2_000), CallOutcome.BROKEN, MAXIMUM_HEAD_BYTES],
  ['a body', `${HEAD}\r\n`, FILLER, CallOutcome.BROKEN, MAXIMUM_BODY_BYTES],
  ['the body of a rejection', 'HTTP/1.1 503 Full\r\nrequest-id: r1\r\nnot-run: 1\r\n\r\n', FILLER, CallOutcome.REJECTED, MAXIMUM_HEAD_BYTES]
])('a call ends after a bounded number of bytes of %s without end', async (name, start, filler, expected, maximumBytes) => {
  const { outcome, isEndless, bytes } = await call(start, filler)
  expect(outcome).toBe(expected)
  expect(bytes).toBeLessThan(maximumBytes)
  expect(isEndless).toBe(!COUNTED_OTHERWISE.includes(name))
}, 30_000)
