import { PlainServiceStandIn } from '@mimosarock/stand-ins/plain-service-stand-in.js'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { waitUntil } from './wait-until.js'

let service: PlainServiceStandIn
beforeEach(async () => {
  service = new PlainServiceStandIn({ capacity: 2 })
  await service.start()
})
afterEach(async () => await service.stop())

async function call (path: string, options: { key?: string, method?: string, timeoutMs?: number } = {}): Promise<string> {
  const method = options.method ?? 'POST'
  const headers: Record<string, string> = options.key === undefined ? {} : { 'idempotency-key': options.key }
  const signal = AbortSignal.timeout(options.timeoutMs ?? 10_000)
  try {
    const response = await fetch(`http://${service.address}${path}`, { method, headers, signal, body: method === 'GET' ? undefined : 'body' })
    return `${response.status} ${await response.text()}`
  } catch (error) {
    return (error as Error).name === 'TimeoutError' ? 'silent' : 'broken'
  }
}

const cases: ReadonlyArray<{ name: string, run: () => Promise<readonly string[]> }> = [
  { name: 'a call without a key', run: async () => [await call('/a?b=c', { method: 'GET' })] },
  { name: 'a key twice', run: async () => [await call('/a', { key: 'k' }), await call('/a', { key: 'k' })] },
  { name: 'the status of a key', run: async () => [await call('/v1/runs/k', { method: 'GET' }), await call('/a', { key: 'k' }), await call('/v1/runs/k', { method: 'GET' })] },
  {
    name: 'repeats refused',
    run: async () => {
      service.faults.refusesRepeats = true
      return [await call('/a', { key: 'k' }), await call('/a', { key: 'k' })]
    }
  },
  {
    name: 'answer lost after the run',
    run: async () => {
      service.faults.lostAnswers = 1
      return [await call('/a', { key: 'k' }), await call('/a', { key: 'l' })]
    }
  },
  {
    name: 'silent after the run',
    run: async () => {
      service.faults.silentAnswers = 1
      return [await call('/a', { key: 'k', timeoutMs: 100 }), await call('/a', { key: 'l' })]
    }
  },
  {
    name: 'silent before the run',
    run: async () => {
      service.faults.silentCalls = 1
      return [await call('/a', { key: 'k', timeoutMs: 100 })]
    }
  },
  {
    name: 'refusing',
    run: async () => {
      service.faults.refusing = true
      return [await call('/a', { key: 'k' }), await call('/healthz', { method: 'GET' })]
    }
  },
  {
    name: 'failing',
    run: async () => {
      service.faults.failing = true
      return [await call('/a', { key: 'k' }), await call('/healthz', { method: 'GET' })]
    }
  },
  {
    name: 'load while three calls run',
    run: async () => {
      service.faults.delayMs = 300
      const calls = ['a', 'b', 'c'].map((key) => call('/a', { key }))
      await waitUntil(() => service.totalRuns === 3)
      const load = await call('/v1/load', { method: 'GET' })
      return [load, ...await Promise.all(calls)].slice(0, 1)
    }
  }
]

test('the plain service counts the runs of each key, and each of its faults changes responses and runs as documented', async () => {
  const lines: string[] = []
  for (const { name, run } of cases) {
    await service.stop()
    service = new PlainServiceStandIn({ capacity: 2 })
    await service.start()
    const responses = await run()
    lines.push(`${name}: ${responses.join('; ')} | runs of k ${service.runsOf('k')}, of all ${service.totalRuns}`)
  }
  expect(lines.join('\n')).toMatchInlineSnapshot(`
    "a call without a key: 200 {"service":"plain","method":"GET","path":"/a?b=c","bytes":0,"run":1} | runs of k 0, of all 1
    a key twice: 200 {"service":"plain","method":"POST","path":"/a","key":"k","bytes":4,"run":1}; 200 {"service":"plain","method":"POST","path":"/a","key":"k","bytes":4,"run":2} | runs of k 2, of all 2
    the status of a key: 200 {"runs":0}; 200 {"service":"plain","method":"POST","path":"/a","key":"k","bytes":4,"run":1}; 200 {"runs":1} | runs of k 1, of all 1
    repeats refused: 200 {"service":"plain","method":"POST","path":"/a","key":"k","bytes":4,"run":1}; 409 {"error":"this key ran before","runs":1} | runs of k 1, of all 1
    answer lost after the run: broken; 200 {"service":"plain","method":"POST","path":"/a","key":"l","bytes":4,"run":1} | runs of k 1, of all 2
    silent after the run: silent; 200 {"service":"plain","method":"POST","path":"/a","key":"l","bytes":4,"run":1} | runs of k 1, of all 2
    silent before the run: silent | runs of k 0, of all 0
    refusing: 503 {"error":"refusing"}; 200 {} | runs of k 0, of all 0
    failing: 500 {"error":"failing"}; 500 {"error":"failing"} | runs of k 0, of all 0
    load while three calls run: 200 {"running":2,"waiting":1,"capacity":2,"cached_tokens":0,"cache_limit_tokens":0} | runs of k 0, of all 3"
  `)
})
