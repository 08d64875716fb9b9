import { expect, test } from 'vitest'
import { EarlyServer } from '@mimosarock/stand-ins/early-server.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { EndpointCall } from '@mimosarock/gateway/sending/endpoint-call.js'
import { EndpointConnections } from '@mimosarock/gateway/sending/endpoint-connections.js'
import { ReadPacer } from '@mimosarock/gateway/sending/read-pacer.js'
import { plainCodec } from './plain-codec.js'

const DENSE = 10_000
const READ_MS = 10
const PARTS = 60_000
const PART = '1\r\na\r\n'

// Guards against a router that answers nothing else while it reads answers in parts of one byte.
test('connections with dense reads together take a fifth of the time, those with usual ones are not delayed', () => {
  const clock = { ms: 1_000 }
  const pacer = new ReadPacer(() => clock.ms)
  const read = (parts: number): number => {
    const startedAt = pacer.beginRead()
    clock.ms += READ_MS
    return pacer.endRead(startedAt, parts)
  }
  expect([read(1), read(200)]).toEqual([0, 0])
  expect(read(DENSE)).toBe(4 * READ_MS)
  expect(read(DENSE)).toBe(4 * READ_MS + 3 * READ_MS)
  expect(read(200)).toBe(0)
  clock.ms += 1_000
  expect(read(DENSE)).toBe(4 * READ_MS)
})

// Guards against an answer that stops when its reads are delayed, or whose delays are none.
test('an answer in parts of one byte arrives whole, with a pause after each dense read', async () => {
  const server = await EarlyServer.start({
    afterBytes: 0, readsOn: true, ending: undefined, delayMs: 0, answer: () => `HTTP/1.1 200 OK\r\nrequest-id: r1\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n${PART.repeat(PARTS)}0\r\n\r\n`
  })
  const connections = new EndpointConnections(() => Infinity)
  const delays: number[] = []
  class RecordingPacer extends ReadPacer {
    override endRead (startedAt: number, parts: number): number {
      const delayMs = super.endRead(startedAt, parts)
      delays.push(delayMs)
      return delayMs
    }
  }
  let bytes = 0
  let partsWhileDelayed = 0
  const call = new EndpointCall({ id: 'r1', method: 'GET', path: '/', headers: ['request-id', 'r1'], body: Buffer.alloc(0), isIdempotent: true }, plainCodec, {
    start: () => true,
    data: (part) => {
      if (call.isDelayed) partsWhileDelayed += 1
      bytes += part.length
      return true
    },
    findProblem: () => undefined
  }, { mayStart: () => true, headReceived: () => undefined, readPacer: new RecordingPacer(() => performance.now()) })
  call.send(connections.pool({ id: 'e', service: 's', address: server.address, availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 0, revision: 0 }, true, 1))
  expect([(await call.result).outcome, bytes]).toEqual([CallOutcome.COMPLETE, PARTS])
  const paused = delays.filter((delayMs) => delayMs > 0).length
  expect(paused).toBeGreaterThan(1)
  // The part at which the HTTP client notices the pause is delivered.
  expect(partsWhileDelayed).toBeLessThanOrEqual(paused)
  connections.closeAll()
  server.close()
})
