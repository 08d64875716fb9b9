import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { GracefulShutdown } from '@mimosarock/gateway/shutdown/graceful-shutdown.js'

test('rejects all requests while the process exits, once none is in flight', async () => {
  const state = { isStopping: false, stopDeadline: undefined as number | undefined, requestsInFlight: 0 }
  const options = { server: createServer(), state, graceMs: 2_000, onStopDeadline: () => undefined, unsentResponses: () => 0 }
  await new GracefulShutdown(options, new SilentEventLog()).run()
  expect([state.isStopping, state.stopDeadline]).toEqual([true, -Infinity])
})

// Guards against LOST: a connection was closed as idle, and the process ended, when the last response had been handed to its socket, whether or not the
// caller had got it.
test('does not end, nor close idle connections, while a response is not sent completely', async () => {
  const state = { isStopping: false, stopDeadline: undefined as number | undefined, requestsInFlight: 0 }
  const responses = { unsent: 1, closedWhile: [] as number[] }
  const server = createServer()
  server.closeIdleConnections = () => { responses.closedWhile.push(responses.unsent) }
  const options = { server, state, graceMs: 2_000, onStopDeadline: () => undefined, unsentResponses: () => responses.unsent }
  let hasEnded = false
  const stopping = new GracefulShutdown(options, new SilentEventLog()).run().then(() => { hasEnded = true })
  await sleep(1_300)
  expect([hasEnded, responses.closedWhile]).toEqual([false, []])
  responses.unsent = 0
  await stopping
  expect(new Set(responses.closedWhile)).toEqual(new Set([0]))
})

// Guards against LOST as in review/13: requests whose callers had left stayed in flight, and as many unsent responses counted as theirs.
test('does not close idle connections while a response is not sent completely, however many requests are in flight', async () => {
  const state = { isStopping: false, stopDeadline: undefined as number | undefined, requestsInFlight: 3 }
  const responses = { unsent: 1, closedWhile: [] as number[] }
  const server = createServer()
  server.closeIdleConnections = () => { responses.closedWhile.push(responses.unsent) }
  const options = { server, state, graceMs: 2_000, onStopDeadline: () => undefined, unsentResponses: () => responses.unsent }
  const stopping = new GracefulShutdown(options, new SilentEventLog()).run()
  await sleep(1_300)
  expect(responses.closedWhile).toEqual([])
  responses.unsent = 0
  state.requestsInFlight = 0
  await stopping
  expect(new Set(responses.closedWhile)).toEqual(new Set([0]))
})
