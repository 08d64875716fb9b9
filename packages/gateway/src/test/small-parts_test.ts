import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { expect, test } from 'vitest'
import { LineSplitter } from '@mimosarock/coordination/http/line-splitter.js'
import { RequestBody } from '@mimosarock/gateway/caller/request-body.js'
import { HeldBytes } from '@mimosarock/gateway/memory/held-bytes.js'
import type { HeldConnection } from '@mimosarock/gateway/memory/held-connection.js'
import type { ResponseHead } from '@mimosarock/gateway/model/response-head.js'
import { CallerOutput } from '@mimosarock/gateway/responses/caller-output.js'
import { EventSplitter } from '@mimosarock/gateway/responses/event-splitter.js'
import { ResponseRelay } from '@mimosarock/gateway/responses/response-relay.js'
import { usedBytes } from '@mimosarock/stand-ins/used-bytes.js'

const PARTS = 400_000
/** Bytes that may be kept for each byte received, and in addition. */
const MAXIMUM_MULTIPLE = 2
const MAXIMUM_OTHER_BYTES = 500_000
const MEMORY_BYTES = 40_000_000
const BOUND = MEMORY_BYTES / 4
const LONG_EVENT_BYTES = 1_000_000
const READ = Buffer.alloc(PARTS, 'a')

/** Adds a part of a stream of bytes. */
type Push = (part: Buffer) => void

function createRelay (isStream: boolean, response: Partial<ServerResponse>, memory: HeldConnection): ResponseRelay {
  const relay = new ResponseRelay({
    response: response as ServerResponse, isStream, memory, now: () => 0, stalls: { hasStalledSince: () => false }, closesConnection: () => false, onStart: () => undefined
  })
  relay.start({ status: 200, headers: [], isDelimited: true, contentType: isStream ? 'text/event-stream' : 'text/plain' } as Partial<ResponseHead> as ResponseHead)
  return relay
}

function addTo (heldBytes: HeldBytes): HeldConnection {
  return heldBytes.add({ unsentBytes: () => 0, closeSlow: () => undefined })
}

/** A caller that reads nothing: each write takes memory until it does. */
function createStuckResponse (): { readonly writes: Buffer[], readonly response: Partial<ServerResponse> } {
  const writes: Buffer[] = []
  const write = (bytes: Buffer): boolean => {
    writes.push(bytes)
    return false
  }
  return { writes, response: { writeHead: () => undefined, write, writableLength: 100, writableNeedDrain: true } as unknown as Partial<ServerResponse> }
}

const CASES: Readonly<Record<string, () => { readonly push: Push, readonly receivedBytes: () => number | Promise<number> }>> = {
  'an event without an end': () => {
    const splitter = new EventSplitter()
    return { push: (part) => splitter.push(part), receivedBytes: () => splitter.partialBytes }
  },
  'an event without an end in a response': () => {
    const relay = createRelay(true, {}, addTo(new HeldBytes({ memoryBytes: MEMORY_BYTES })))
    return { push: (part) => relay.data(part), receivedBytes: () => relay.findProblem(true) === undefined ? 0 : PARTS }
  },
  'the body of a request': () => {
    const request = Object.assign(new EventEmitter(), { headers: { 'transfer-encoding': 'chunked' } })
    const body = new RequestBody(request as unknown as IncomingMessage, () => PARTS, addTo(new HeldBytes({ memoryBytes: MEMORY_BYTES })))
    return {
      push: (part) => request.emit('data', part),
      receivedBytes: async () => {
        request.emit('end')
        return (await body.read()).length
      }
    }
  },
  'a line without an end': () => {
    const splitter = new LineSplitter(PARTS)
    return { push: (part) => splitter.push(part), receivedBytes: () => splitter.push(Buffer.from('\n'))?.[0]?.length ?? 0 }
  },
  'a response to a caller that reads nothing': () => {
    const { writes, response } = createStuckResponse()
    const output = new CallerOutput(response as ServerResponse)
    return {
      push: (part) => output.write(part),
      receivedBytes: () => {
        output.flush()
        return Buffer.concat(writes).length
      }
    }
  }
}

// Guards against LOST as in review/12 and review/6: a bound on the number of bytes, while each part of one byte is kept as a buffer that takes over a hundred times as much.
test.each(Object.entries(CASES))('%s in parts of one byte takes memory by its length alone', async (_what, create) => {
  const { push, receivedBytes } = create()
  const before = usedBytes()
  for (let position = 0; position < PARTS; position += 1) push(READ.subarray(position, position + 1))
  expect(usedBytes() - before).toBeLessThan(PARTS * MAXIMUM_MULTIPLE + MAXIMUM_OTHER_BYTES)
  expect(await receivedBytes()).toBe(PARTS)
})

// Guards against a response whose memory is that of a short one, in parts that are kept until it is known whether it is.
test('a response that is buffered is kept once, and in one piece', () => {
  const { writes, response } = createStuckResponse()
  const relay = createRelay(false, { ...response, end: (bytes: Buffer) => { writes.push(bytes) } } as unknown as Partial<ServerResponse>, addTo(new HeldBytes({ memoryBytes: undefined })))
  const body = READ.subarray(0, 60_000)
  for (let position = 0; position < body.length; position += 7) relay.data(body.subarray(position, position + 7))
  relay.finish()
  expect(writes.map(({ length }) => length)).toEqual([body.length])
})

// Guards against events that many endpoints do not end, each below the maximum length of one: together they took more memory than the process has.
test('what is held of unfinished events together is within the bound; the longest one is given up', () => {
  const heldBytes = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  const givenUp: number[] = []
  const open = (stream: number, bytes: number): ResponseRelay => {
    const held = addTo(heldBytes)
    held.onRefused(() => givenUp.push(stream))
    const relay = createRelay(true, {}, held)
    relay.data(Buffer.alloc(bytes, 'a'))
    expect(heldBytes.total).toBeLessThanOrEqual(BOUND)
    return relay
  }
  for (let stream = 0; stream < 9; stream += 1) expect(open(stream, LONG_EVENT_BYTES).findProblem(false)).toBe(undefined)
  expect(open(9, LONG_EVENT_BYTES).findProblem(false)).toContain('no memory')
  for (let stream = 10; stream < 14; stream += 1) expect(open(stream, LONG_EVENT_BYTES / 2).findProblem(false)).toBe(undefined)
  expect(givenUp).toEqual([0, 1])
})

// Guards against short events that are given up for long ones.
test('an unfinished event of usual length is kept while long ones fill the memory', () => {
  const heldBytes = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  for (let stream = 0; stream < 12; stream += 1) createRelay(true, {}, addTo(heldBytes)).data(Buffer.alloc(LONG_EVENT_BYTES, 'a'))
  const relay = createRelay(true, {}, addTo(heldBytes))
  relay.data(Buffer.from('data: a'))
  expect(relay.findProblem(false)).toBe(undefined)
})
