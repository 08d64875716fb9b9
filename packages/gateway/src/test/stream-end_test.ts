import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { GatewayFixture } from './gateway-fixture.js'

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
const ENDLESS_EVENT_BYTES = 8_000_000

let fixture: GatewayFixture

beforeEach(async () => {
  fixture = new GatewayFixture(2)
  await fixture.start()
})

afterEach(async () => await fixture.stop())

/** Lets endpoints answer by turns with one body and another one. */
function answerInTurn (...answers: ((request: IncomingMessage, response: ServerResponse) => void)[]): void {
  let calls = 0
  for (const endpoint of fixture.endpoints) {
    endpoint.behavior = (request, response) => {
      const answer = answers[Math.min(calls, answers.length - 1)]
      calls += 1
      answer?.(request, response)
    }
  }
}

/** Answers with neither a length nor chunks, and ends the connection. */
function unframed (body: string): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => response.socket?.end(`HTTP/1.1 200 OK\r\nrequest-id: ${request.headers['request-id']}\r\nsignature: s\r\n\r\n${body}`)
}

function chunked (body: string): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's', 'transfer-encoding': 'chunked' })
    response.end(body)
  }
}

const arrivals = (): number => fixture.endpoints.reduce((sum, endpoint) => sum + endpoint.requests.length, 0)

test.each(['/stream/', '/resume/', '/read/', '/pay/'])('a response without length and chunks is whole when its connection ends (%s)', async (path) => {
  answerInTurn(unframed(EVENTS))
  const response = await fixture.call('POST', path)
  expect([response.status, response.body, response.isWhole, arrivals()]).toEqual([200, EVENTS, true, 1])
})

test.each([['unframed', unframed], ['chunked', chunked]])('a stream that ends inside an event does not look complete (%s)', async (_name, answer) => {
  answerInTurn(answer(`${EVENTS}id: 3\nda`))
  const response = await fixture.call('POST', '/stream/')
  expect([response.status, response.body, response.isWhole, arrivals()]).toEqual([200, EVENTS, false, 1])
})

test.each([['unframed', unframed], ['chunked', chunked]])('a resumable stream that ends inside an event goes on at another endpoint (%s)', async (_name, answer) => {
  answerInTurn(answer(`${EVENTS}id: 3\nda`), answer('id: 3\ndata: c\n\n'))
  const response = await fixture.call('POST', '/resume/')
  expect([response.body, response.isWhole, arrivals()]).toEqual([`${EVENTS}id: 3\ndata: c\n\n`, true, 2])
})

test('a stream whose connection ends before its first event is not an empty one', async () => {
  answerInTurn(unframed(''))
  const response = await fixture.call('POST', '/stream/')
  expect([response.status, JSON.parse(response.body).run, arrivals()]).toEqual([502, 'unknown', 1])
})

test('a resumption whose connection ends before its first event does not complete the stream', async () => {
  answerInTurn(unframed(`${EVENTS}id: 3\nda`), unframed(''))
  const response = await fixture.call('POST', '/resume/')
  expect([response.body, response.isWhole, arrivals()]).toEqual([EVENTS, false, 2])
})

test('a response of another type than an event stream is forwarded as it is', async () => {
  answerInTurn((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's', 'content-type': 'application/json' }).end('{"a":1}')
  })
  const response = await fixture.call('POST', '/stream/')
  expect([response.status, response.body, response.isWhole]).toEqual([200, '{"a":1}', true])
})

test('a failure of any length on a resumable route is forwarded unchanged', async () => {
  const body = `{"a":"${'x\n\n'.repeat(30_000)}x"}`
  answerInTurn((request, response) => {
    response.writeHead(404, { 'request-id': request.headers['request-id'], signature: 's' }).end(body)
  })
  const response = await fixture.call('POST', '/resume/')
  expect([response.status, response.body === body, response.isWhole]).toEqual([404, true, true])
})

// Guards against an endpoint that sends an event without end, all of which the router kept.
test('an event that does not end is given up', async () => {
  let sentBytes = 0
  answerInTurn((request, response) => {
    response.writeHead(200, { 'request-id': request.headers['request-id'], signature: 's' })
    response.write('id: 1\ndata: ')
    const write = (): void => {
      while (!response.destroyed && sentBytes < ENDLESS_EVENT_BYTES) {
        sentBytes += 65_536
        if (!response.write('x'.repeat(65_536))) return
      }
    }
    response.on('drain', write)
    write()
  })
  const response = await fixture.call('POST', '/stream/')
  expect([response.status, JSON.parse(response.body).run, sentBytes < ENDLESS_EVENT_BYTES]).toEqual([502, 'unknown', true])
})
