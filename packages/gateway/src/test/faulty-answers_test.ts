import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { GatewayFixture } from './gateway-fixture.js'
import { TestEndpoint } from './test-endpoint.js'

// Failures of endpoints that operators of similar systems have reported, as callers would notice them.

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
const TEXT_WITH_BLANK_LINES = '{"error": "out of memory"}\n\nsee the log\n\n'

type Answer = (request: IncomingMessage, response: ServerResponse) => void

let fixture: GatewayFixture

async function start (endpoints: number): Promise<void> {
  fixture = new GatewayFixture(endpoints)
  await fixture.start()
}

beforeEach(async () => await start(2))

afterEach(async () => await fixture.stop())

/** Lets the endpoints answer the calls by turns; the last answer is repeated. */
function answerInTurn (...answers: Answer[]): void {
  let calls = 0
  for (const endpoint of fixture.endpoints) {
    endpoint.behavior = (request, response) => {
      const answer = answers[Math.min(calls, answers.length - 1)]
      calls += 1
      answer?.(request, response)
    }
  }
}

const arrivals = (): string[] => fixture.endpoints.flatMap(({ requests }) => requests.map(({ headers }) => String(headers['request-id'])))

const socketOf = (response: ServerResponse): Socket => response.socket as Socket

const idOf = (request: IncomingMessage): string => String(request.headers['request-id'])

/** Returns a refusal as an endpoint writes it; without an id if that is empty. */
function refusal (id: string, status = '503 Full'): string {
  return `HTTP/1.1 ${status}\r\n${id === '' ? '' : `request-id: ${id}\r\n`}not-run: 1\r\nContent-Length: 4\r\n\r\nfull`
}

// Guards against a refusal that a faulty endpoint writes again on a kept connection: callers were told "not run" of a request that
// runs, or it ran at a second endpoint.
test.each([
  ['with its id', refusal('r1')],
  ['without an id', refusal('')],
  ['of a misdirected request', refusal('r1', '421 Misdirected')],
  ['that is cut off', refusal('r1').slice(0, -2)]
])('a refusal of the request before, written again (%s), is no answer to a call that may run once', async (_name, copy) => {
  await fixture.stop()
  await start(1)
  answerInTurn(
    (request, response) => TestEndpoint.reject(request, response),
    (_request, response) => { socketOf(response).write(copy) }
  )
  expect((await fixture.call('POST', '/pay/')).status).toBe(503)
  const response = await fixture.call('POST', '/pay/', { 'request-id': 'r2', deadline: '1500' })
  expect([response.status, JSON.parse(response.body).run, arrivals()]).toEqual([502, 'unknown', ['r1', 'r2']])
})

// Guards against REFUSED as in review/11: bytes without an id that follow an answer were taken for the answer to the next payment, which ran.
test.each(['503 Unavailable', '429 Too Many', '408 Timeout', '421 Misdirected', '404 Unknown', '500 Failed'])('a bare %s without an id is no answer to a call that may run once', async (status) => {
  await fixture.stop()
  await start(1)
  answerInTurn((_request, response) => { socketOf(response).write(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`) })
  const response = await fixture.call('POST', '/pay/', { deadline: '1500' })
  expect([response.status, JSON.parse(response.body).run, arrivals()]).toEqual([502, 'unknown', ['r1']])
})

const PROMISES = ['408 Timeout', '421 Misdirected', '429 Too Many', '503 Unavailable']
const LONG_BODY = 'b'.repeat(100_000)

// Guards against REFUSED: a status that promises that a request has not run was passed on to a call that may run once, although the endpoint did not state it and had run it.
test.each(PROMISES.flatMap((status) => ['/pay/', '/stream/'].map((path) => ({ status, path }))))(
  'a $status with the id of the request that does not state that it has not run promises nothing to a call that may run once ($path)',
  async ({ status, path }) => {
    for (const signature of ['', 'signature: s\r\n']) {
      for (const body of ['', LONG_BODY]) {
        answerInTurn((request, response) => {
          socketOf(response).write(`HTTP/1.1 ${status}\r\nrequest-id: ${idOf(request)}\r\n${signature}Content-Length: ${body.length}\r\n\r\n${body}`)
        })
        const response = await fixture.call('POST', path, { deadline: '1500' })
        expect([response.status, response.headers.signature, JSON.parse(response.body).run]).toEqual([502, undefined, 'unknown'])
      }
    }
    expect(arrivals()).toEqual(['r1', 'r1', 'r1', 'r1'])
  }
)

// Guards against failures of an endpoint that are replaced although they mislead nobody: what may run again is sent again after any failure.
test.each(['/read/', '/resume/'])('a 503 with a signature that does not state that the request has not run is passed on to a request that may run again (%s)', async (path) => {
  await fixture.stop()
  await start(1)
  answerInTurn((request, response) => TestEndpoint.respond(request, response, 'busy', 503))
  const response = await fixture.call('GET', path, { deadline: '1500' })
  expect([response.status, response.headers.signature, response.body]).toEqual([503, 'signed', 'busy'])
})

// Guards against a second run: a success that also states that the request has not run was believed in that, and the request sent to another endpoint.
test('a success that states that the request has not run is no answer, and the request is not sent again', async () => {
  const answer = answerWith(200, { signature: 's', 'not-run': '1' }, 'paid')
  answerInTurn(answer)
  const response = await fixture.call('POST', '/pay/', { deadline: '1500' })
  expect([response.status, JSON.parse(response.body).run, arrivals()]).toEqual([502, 'unknown', ['r1']])
})

// Guards against the same while the connection is idle: the next call has to use another connection.
test('a refusal that is written again while the connection is idle is not read by the next call', async () => {
  await fixture.stop()
  await start(1)
  answerInTurn(
    (request, response) => {
      const socket = socketOf(response)
      TestEndpoint.reject(request, response)
      setTimeout(() => socket.write(refusal('r1')), 30)
    },
    (request, response) => TestEndpoint.respond(request, response, 'paid')
  )
  expect((await fixture.call('POST', '/pay/')).status).toBe(503)
  await sleep(80)
  const response = await fixture.call('POST', '/pay/', { 'request-id': 'r2' })
  expect([response.status, response.body, arrivals()]).toEqual([200, 'paid', ['r1', 'r2']])
})

const breakOff: Answer = (request, response) => {
  response.writeHead(200, { 'request-id': idOf(request), signature: 's', 'content-type': 'text/event-stream' })
  response.write(EVENTS)
  setTimeout(() => socketOf(response).resetAndDestroy(), 30)
}

function answerWith (status: number, headers: Record<string, string>, body: string): Answer {
  return (request, response) => { response.writeHead(status, { 'request-id': idOf(request), ...headers }).end(body) }
}

// Guards against the text of an error in the middle of a stream that had begun, and against a stream that ends with it as if it were complete.
test.each<[string, Answer]>([
  ['a failure', answerWith(500, { signature: 's', 'content-type': 'text/plain' }, TEXT_WITH_BLANK_LINES)],
  ['a failure as an event stream', answerWith(500, { signature: 's', 'content-type': 'text/event-stream' }, 'id: 3\ndata: error\n\n')],
  ['a refusal', answerWith(503, { 'not-run': '1' }, TEXT_WITH_BLANK_LINES)],
  ['a success of another type', answerWith(200, { signature: 's', 'content-type': 'application/json' }, TEXT_WITH_BLANK_LINES)],
  ['a success without a signature', answerWith(200, { 'content-type': 'text/event-stream' }, 'id: 3\ndata: error\n\n')],
  ['another success without a body', answerWith(204, { signature: 's' }, '')],
  ['text without a head', (_request, response) => { socketOf(response).end(TEXT_WITH_BLANK_LINES) }]
])('a stream that breaks off and is answered elsewhere with %s does not contain it, and does not look complete', async (_name, answer) => {
  answerInTurn(breakOff, answer)
  const response = await fixture.call('POST', '/resume/')
  expect([response.status, response.body, response.isWhole]).toEqual([200, EVENTS, false])
})

// Guards against events that reach the caller twice: nothing tells the next endpoint where to go on.
test.each([
  ['events without ids', 'text/event-stream', 'data: a\n\ndata: b\n\n'],
  ['an event without an id after one with an id', 'text/event-stream', 'id: 1\ndata: a\n\ndata: b\n\n'],
  ['another type than events', 'application/json', '{"a":1,\n\n']
])('a response of %s that breaks off is not joined with that of another endpoint', async (_name, type, body) => {
  answerInTurn(
    (request, response) => {
      response.writeHead(200, { 'request-id': idOf(request), signature: 's', 'content-type': type })
      response.write(body)
      setTimeout(() => socketOf(response).resetAndDestroy(), 30)
    },
    answerWith(200, { signature: 's', 'content-type': type }, body)
  )
  const response = await fixture.call('POST', '/resume/')
  expect([response.status, response.body, response.isWhole, arrivals()]).toEqual([200, body, false, ['r1']])
})

const HEAD_LINES = ['HTTP/1.1 200 OK', 'request-id: r1', 'signature: s', 'Content-Type: text/plain', 'Connection: close', 'Content-Length: 4']
const EARLY_HINTS = 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n'

/** Returns the parts of a head at which an endpoint may stop: in a line, after a line, and before the end of the head. */
function cutHeads (lines: readonly string[]): string[] {
  const head = `${lines.join('\r\n')}\r\n\r\n`
  const ends = [...head.matchAll(/\r\n/g)].flatMap(({ index }) => [index - 2, index, index + 1, index + 2])
  return [...new Set(ends)].filter((end) => end < head.length).map((end) => head.slice(0, end))
}

const HEADS: readonly [string, readonly string[]][] = [
  ['with a length', cutHeads(HEAD_LINES)],
  ['without a length', cutHeads(HEAD_LINES.slice(0, -1))],
  ['after an informational response', cutHeads(HEAD_LINES).map((head) => EARLY_HINTS + head)],
  ['of HTTP/1.0', cutHeads(['HTTP/1.0 200 OK', ...HEAD_LINES.slice(1, 4)])]
]

// Guards against a success with an empty or short body, made of a head that the endpoint had not finished.
test.each(HEADS)('a head %s that is cut off at any place is no answer', async (_name, heads) => {
  for (const head of heads) {
    for (const isReset of [false, true]) {
      answerInTurn((_request, response) => {
        const socket = socketOf(response)
        socket.write(head)
        setTimeout(() => { if (isReset) socket.resetAndDestroy(); else socket.end() }, 5)
      })
      const response = await fixture.call('POST', '/pay/', { deadline: '1500' })
      expect([response.status, response.headers.signature, head, isReset]).toEqual([502, undefined, head, isReset])
    }
  }
}, 60_000)
