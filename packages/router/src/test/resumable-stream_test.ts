import fc from 'fast-check'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { expect, test } from 'vitest'
import { ResumableStream } from '../responses/resumable-stream.js'
import type { PlacedCall } from '../entry/placed-call.js'

const EVENTS = 20

/** Behavior of one connection: bytes until it fails, chunk size, and whether the engine discards the stream then. */
interface Connection { readonly bytes: number, readonly chunk: number, readonly losesStream: boolean }

function event (id: number, variant: string): string {
  if (id === EVENTS) return `id: ${id}\ndata: [DONE]\n\n`
  return `id: ${id}\ndata: {"id":"${variant}","created":1,"choices":[{"index":0,"delta":{"content":"${variant.startsWith('other') ? 'x' : 'ž'}${id} "}}]}\n\n`
}

function streamFrom (from: number, variant: string): Buffer {
  return Buffer.from(Array.from({ length: EVENTS + 1 - from }, (_, index) => event(from + index, variant)).join(''))
}

/** Reads a stream over failing connections and returns its events, or the result code if it fails. */
async function read (connections: Connection[], variants: string[]): Promise<string[] | number> {
  let opened = 0
  let engine = 0
  const open = (from: number, engineIndex: number): PlacedCall => {
    const connection = connections[opened]
    opened += 1
    const bytes = streamFrom(from, variants[engineIndex % variants.length] ?? '')
    const body = async function * (): AsyncGenerator<Uint8Array> {
      const end = connection === undefined ? bytes.length : Math.min(bytes.length, connection.bytes)
      for (let start = 0; start < end; start += connection?.chunk ?? end) yield bytes.subarray(start, Math.min(end, start + (connection?.chunk ?? end)))
      if (connection !== undefined && connection.losesStream) engine += 1
      if (end < bytes.length) throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'broken', { run: 'unknown' })
    }
    return { call: { requestId: 'r', resumeFrom: from } as unknown as PlacedCall['call'], response: { status: 200, headers: {}, body: body(), endpoint: `${engineIndex}` } }
  }
  let current = 0
  const stream = new ResumableStream({
    placed: open(0, 0),
    dispatch: {
      dispatch: async (call) => {
        if (engine !== current) return { status: 404, headers: {}, body: (async function * () {})(), endpoint: '' }
        return open(call.resumeFrom ?? 0, current).response
      },
      cancel: async () => {}
    },
    signal: new AbortController().signal,
    remainingMs: () => 1_000,
    restart: async () => {
      current = engine
      return open(0, current)
    },
    onResume: () => {}
  })
  const chunks: Uint8Array[] = []
  try {
    for await (const bytes of stream) chunks.push(bytes)
  } catch (error) {
    return (error as MimosarockError).code
  }
  return Buffer.concat(chunks).toString().split('\n\n').filter((text) => text !== '').map((text) => text.replace(/"id":"[^"]*"/, ''))
}

const allEvents = Array.from({ length: EVENTS + 1 }, (_, id) => event(id, '').trimEnd().replace(/"id":"[^"]*"/, ''))
const connection = fc.record({ bytes: fc.integer({ min: 1, max: 1_500 }), chunk: fc.integer({ min: 1, max: 200 }), losesStream: fc.boolean() })

test('delivers each event exactly once and in order, or ends the stream as incomplete', async () => {
  await fc.assert(fc.asyncProperty(fc.array(connection, { maxLength: 6 }), async (connections) => {
    const result = await read(connections, ['a', 'b', 'c'])
    if (typeof result === 'number') expect(result).toBe(ResultCode.STREAM_INCOMPLETE)
    else expect(result).toEqual(allEvents)
  }), { seed: 11, numRuns: 300 })
})

test('continues with another engine that generates the same text when the engine has discarded the stream', async () => {
  expect(await read([{ bytes: 700, chunk: 50, losesStream: true }], ['a', 'b'])).toEqual(allEvents)
})

test('never appends a regenerated response that differs from the original', async () => {
  expect(await read([{ bytes: 700, chunk: 50, losesStream: true }], ['a', 'other'])).toBe(ResultCode.STREAM_INCOMPLETE)
})

test('replaces an engine that was lost before its first event, whatever the other engine generates', async () => {
  const result = await read([{ bytes: 5, chunk: 5, losesStream: true }], ['a', 'other'])
  expect(Array.isArray(result) && result.length).toBe(EVENTS + 1)
})
