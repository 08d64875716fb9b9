import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { PeerConnections } from '../membership/peer-connections.js'
import type { PeerAccess } from '../membership/peer-access.js'
import { PeerMethods } from '../membership/peer-methods.js'
import { PeerServer } from '../membership/peer-server.js'
import { TrafficCounter } from '../membership/traffic-counter.js'
import { SilentEventLog } from '../silent-event-log.js'
import { SystemClock } from '../system-clock.js'

const closers: Array<() => unknown> = []
afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

function createConnections (access: PeerAccess = {}): PeerConnections {
  const common = { access, clock: new SystemClock(), eventLog: new SilentEventLog(), traffic: new TrafficCounter() }
  const connections = new PeerConnections({ ...common, methods: new PeerMethods() })
  closers.push(() => connections.close())
  return connections
}

async function startServer (access: PeerAccess = {}): Promise<{ address: string, methods: PeerMethods, traffic: TrafficCounter }> {
  const methods = new PeerMethods()
  const traffic = new TrafficCounter()
  const server = new PeerServer({ address: '127.0.0.1:0', methods, access, clock: new SystemClock(), eventLog: new SilentEventLog(), traffic })
  const address = await server.listen()
  closers.push(() => server.close())
  return { address, methods, traffic }
}

/** Returns the code and the run state of the error with which a promise rejects; undefined if it resolves. */
async function codeOf (promise: Promise<unknown>): Promise<[ResultCode, RunState] | undefined> {
  try {
    await promise
    return undefined
  } catch (error) {
    expect(error).toBeInstanceOf(MimosarockError)
    const known = error as MimosarockError
    return [known.code, known.run]
  }
}

test('concurrent calls share one connection and receive their own responses', async () => {
  const { address, methods, traffic } = await startServer()
  methods.handle('double', async (params) => {
    const [value] = params as number[]
    await new Promise((resolve) => setTimeout(resolve, (value ?? 0) % 3))
    return (value ?? 0) * 2
  })
  const connections = createConnections()
  const values = Array.from({ length: 50 }, (_, index) => index)
  const results = await Promise.all(values.map((value) => connections.call(address, 'double', [value], 2_000)))
  expect(results).toEqual(values.map((value) => value * 2))
  expect(connections.openCount).toBe(1)
  expect(traffic.total).toBeGreaterThan(50 * 30)
})

test('an error is transferred with its code, run state, retry delay and field', async () => {
  const { address, methods } = await startServer()
  methods.handle('refuse', () => {
    throw new MimosarockError(ResultCode.QUEUE_FULL, 'full', { retryAfterMs: 250, field: 'engine-1' })
  })
  const failure = await createConnections().call(address, 'refuse', [], 1_000).catch((error) => error)
  expect(failure).toMatchObject({ code: ResultCode.QUEUE_FULL, run: RunState.NOT_RUN, retryAfterMs: 250, field: 'engine-1' })
})

test('an unresponsive connection is closed and the next call opens a new one', async () => {
  let accepted = 0
  const server = createServer((socket) => {
    accepted += 1
    const silent = accepted === 1
    socket.on('error', () => {})
    socket.on('data', (data) => {
      if (silent) return
      const { id } = JSON.parse(data.toString())
      socket.write(JSON.stringify({ jsonrpc: '2.0', id, result: 'new' }) + '\n')
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  closers.push(() => server.close())
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const connections = createConnections()
  expect(await codeOf(connections.call(address, 'any', [], 50))).toEqual([ResultCode.PEER_TIMEOUT, RunState.UNKNOWN])
  expect(await connections.call(address, 'any', [], 2_000)).toBe('new')
  expect(accepted).toBe(2)
})

test('a slow method does not close the connection that other calls use', async () => {
  const { address, methods } = await startServer()
  methods.handle('slow', () => new Promise((resolve) => setTimeout(resolve, 200)))
  methods.handle('fast', () => 'answer')
  const connections = createConnections()
  await connections.call(address, 'fast', [], 1_000)
  const slow = codeOf(connections.call(address, 'slow', [], 50))
  expect(await connections.call(address, 'fast', [], 1_000)).toBe('answer')
  expect(await slow).toEqual([ResultCode.PEER_TIMEOUT, RunState.UNKNOWN])
  expect(connections.openCount).toBe(1)
})

test('a call to an address without a listener fails as unreachable and not run', async () => {
  const unused = createServer()
  await new Promise<void>((resolve) => unused.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(unused.address() as AddressInfo).port}`
  await new Promise((resolve) => unused.close(resolve))
  expect(await codeOf(createConnections().call(address, 'any', [], 1_000))).toEqual([ResultCode.PEER_UNREACHABLE, RunState.NOT_RUN])
})

test.each([
  { presented: 'fleet-token', expected: 'accepted' },
  { presented: 'fleet-tokem', expected: 'refused' },
  { presented: '', expected: 'refused' },
  { presented: undefined, expected: 'refused' }
])('a peer that presents the token $presented is $expected', async ({ presented, expected }) => {
  const { address, methods } = await startServer({ token: 'fleet-token' })
  let runs = 0
  methods.handle('secret', () => {
    runs += 1
    return 'answer'
  })
  const connections = createConnections(presented === undefined ? {} : { token: presented })
  const answer = await connections.call(address, 'secret', [], 1_000).catch(() => undefined)
  expect(answer).toBe(expected === 'accepted' ? 'answer' : undefined)
  expect(runs).toBe(expected === 'accepted' ? 1 : 0)
})

test('plain text is refused on addresses other than loopback unless explicitly allowed', async () => {
  const options = { methods: new PeerMethods(), clock: new SystemClock(), eventLog: new SilentEventLog(), traffic: new TrafficCounter() }
  const make = (access: PeerAccess): PeerServer => new PeerServer({ ...options, access, address: '10.0.0.1:0' })
  expect(() => make({})).toThrow(expect.objectContaining({ code: ResultCode.PLAIN_TEXT_REFUSED }))
  expect(() => make({ allowPlainText: true })).not.toThrow()
  expect(await codeOf(createConnections().call('10.0.0.1:7000', 'any', [], 100))).toEqual([ResultCode.PLAIN_TEXT_REFUSED, RunState.NOT_RUN])
})
