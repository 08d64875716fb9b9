import { HttpLogService } from '@mimosarock/coordination/http-log-service.js'
import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { ReadOptions } from '@mimosarock/coordination/read-options.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'
import { afterEach, expect, test } from 'vitest'
import { waitUntil } from './wait-until.js'

interface Case {
  readonly name: string
  readonly run: (log: LogService, standIn: LogServiceStandIn) => Promise<unknown>
}

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const stop of cleanups.splice(0)) await stop()
})

async function append (log: LogService, text: string, signal?: AbortSignal): Promise<string> {
  return await log.append('s', Buffer.from(text), signal).then((offset) => `at ${offset}`, describeFailure)
}

async function read (log: LogService, from: number, options?: ReadOptions): Promise<string> {
  return await log.read('s', from, options).then((result) => {
    const records = result.records.map((record) => `${record.offset}=${Buffer.from(record.data).toString()}`)
    return `[${records.join(' ')}] oldest ${result.oldestOffset} next ${result.nextOffset}`
  }, describeFailure)
}

function describeFailure (error: unknown): string {
  return error instanceof MimosarockError ? `code ${error.code} ${error.run}` : `unexpected error ${String(error)}`
}

const cases: readonly Case[] = [
  { name: 'an unwritten stream', run: async (log) => [await read(log, 1)] },
  { name: 'appends and reads from the middle', run: async (log) => [await append(log, 'a'), await append(log, 'b'), await read(log, 2), await read(log, 3)] },
  {
    name: 'binary data',
    run: async (log) => {
      await log.append('s', Uint8Array.of(0, 255, 10))
      return [...(await log.read('s', 1)).records[0]?.data ?? []].join(' ')
    }
  },
  { name: 'a limit', run: async (log) => [await append(log, 'a'), await append(log, 'b'), await read(log, 1, { limit: 1 })] },
  {
    name: 'a long poll that a record ends',
    run: async (log, standIn) => {
      const longPoll = read(log, 1, { waitMs: 60_000 })
      await waitUntil(() => standIn.counts.reads === 1)
      return [await append(log, 'a'), await longPoll]
    }
  },
  { name: 'a long poll that ends without a record', run: async (log) => [await read(log, 1, { waitMs: 5 })] },
  {
    name: 'a long poll that its reader gives up',
    run: async (log, standIn) => {
      const controller = new AbortController()
      const longPoll = read(log, 1, { waitMs: 60_000, signal: controller.signal })
      await waitUntil(() => standIn.counts.reads === 1)
      controller.abort()
      return [await longPoll]
    }
  },
  {
    name: 'expired records',
    run: async (log, standIn) => {
      for (const text of ['a', 'b', 'c']) await append(log, text)
      standIn.truncate('s', 3)
      const some = await read(log, 1)
      standIn.truncate('s', 9)
      return [some, await read(log, 1), await append(log, 'd')]
    }
  },
  {
    name: 'retention by count',
    run: async (log) => {
      for (let index = 0; index < 7; index += 1) await append(log, `${index}`)
      return [await read(log, 1)]
    }
  },
  {
    name: 'an outage of appends',
    run: async (log, standIn) => {
      standIn.faults.appendOutage = true
      return [await append(log, 'a'), await read(log, 1)]
    }
  },
  {
    name: 'an outage of reads',
    run: async (log, standIn) => {
      standIn.faults.readOutage = true
      return [await append(log, 'a'), await read(log, 1)]
    }
  },
  {
    name: 'an outage during a long poll',
    run: async (log, standIn) => {
      const longPoll = read(log, 1, { waitMs: 60_000 })
      await waitUntil(() => standIn.counts.reads === 1)
      standIn.startOutage()
      const failed = await longPoll
      standIn.endOutage()
      return [failed, await append(log, 'a')]
    }
  },
  {
    name: 'an answer lost after the append',
    run: async (log, standIn) => {
      standIn.faults.lostAnswers = 1
      return [await append(log, 'a'), await append(log, 'b'), await read(log, 1)]
    }
  },
  {
    name: 'an append delivered twice',
    run: async (log, standIn) => {
      standIn.faults.duplicatedAppends = 1
      return [await append(log, 'a'), await append(log, 'b'), await read(log, 1)]
    }
  },
  {
    name: 'an append that takes effect late',
    run: async (log, standIn) => {
      standIn.faults.lateAppends = 1
      standIn.faults.lateAppendMs = 60_000
      const first = [await append(log, 'a'), await append(log, 'b')]
      standIn.deliverLateAppends()
      await waitUntil(() => standIn.records('s').length === 2)
      return [...first, await read(log, 1)]
    }
  },
  {
    name: 'a slow append that its writer gives up',
    run: async (log, standIn) => {
      standIn.faults.appendDelayMs = 50
      const controller = new AbortController()
      const appended = append(log, 'a', controller.signal)
      await waitUntil(() => standIn.counts.appends === 1)
      controller.abort()
      const failed = await appended
      await waitUntil(() => standIn.records('s').length === 1)
      return [failed, await read(log, 1)]
    }
  }
]

async function runCase (log: LogService, standIn: LogServiceStandIn, { run }: Case): Promise<string> {
  const result = await run(log, standIn)
  return Array.isArray(result) ? result.join('; ') : String(result)
}

async function inProcess (standIn: LogServiceStandIn): Promise<LogService> {
  return standIn
}

async function overHttp (standIn: LogServiceStandIn): Promise<LogService> {
  await standIn.start()
  const client = new HttpLogService(standIn.url)
  cleanups.push(() => client.close(), () => standIn.stop())
  return client
}

async function runCases (connect: (standIn: LogServiceStandIn) => Promise<LogService>): Promise<string> {
  const lines = await Promise.all(cases.map(async (entry) => {
    const standIn = new LogServiceStandIn({ retainedRecords: 5 })
    return `${entry.name}: ${await runCase(await connect(standIn), standIn, entry)}`
  }))
  return lines.join('\n')
}

test('the log service gives the same results in process and over HTTP', async () => {
  const direct = await runCases(inProcess)
  expect(direct).toMatchInlineSnapshot(`
    "an unwritten stream: [] oldest 1 next 1
    appends and reads from the middle: at 1; at 2; [2=b] oldest 1 next 3; [] oldest 1 next 3
    binary data: 0 255 10
    a limit: at 1; at 2; [1=a] oldest 1 next 3
    a long poll that a record ends: at 1; [1=a] oldest 1 next 2
    a long poll that ends without a record: [] oldest 1 next 1
    a long poll that its reader gives up: code 7001 unknown
    expired records: [3=c] oldest 3 next 4; [] oldest 4 next 4; at 4
    retention by count: [3=2 4=3 5=4 6=5 7=6] oldest 3 next 8
    an outage of appends: code 7001 unknown; [] oldest 1 next 1
    an outage of reads: at 1; code 7001 unknown
    an outage during a long poll: code 7001 unknown; at 1
    an answer lost after the append: code 7001 unknown; at 2; [1=a 2=b] oldest 1 next 3
    an append delivered twice: at 1; at 3; [1=a 2=a 3=b] oldest 1 next 4
    an append that takes effect late: code 7001 unknown; at 1; [1=b 2=a] oldest 1 next 3
    a slow append that its writer gives up: code 7001 unknown; [1=a] oldest 1 next 2"
  `)
  expect(await runCases(overHttp)).toBe(direct)
})

test('calls to a closed port are reported as not run', async () => {
  const standIn = new LogServiceStandIn()
  await standIn.start()
  await standIn.stop()
  const client = new HttpLogService(standIn.url)
  cleanups.push(() => client.close())
  expect([await append(client, 'a'), await read(client, 1)]).toEqual(['code 7001 not-run', 'code 7001 not-run'])
})

test('an append on a silenced connection ends when its signal aborts, and the next append succeeds', async () => {
  const standIn = new LogServiceStandIn()
  const log = await overHttp(standIn)
  await append(log, 'before')
  standIn.server.silenceConnections()
  const results: string[] = []
  // The client may use another connection than the silenced one, which is why appends are repeated until one times out.
  while (!results.includes('code 7001 unknown')) results.push(await append(log, 'x', AbortSignal.timeout(50)))
  const after = await append(log, 'after')
  expect(results.length).toBeLessThan(4)
  expect(standIn.records('s').length).toBe(results.length + 1)
  expect(after).toBe(`at ${results.length + 1}`)
})
