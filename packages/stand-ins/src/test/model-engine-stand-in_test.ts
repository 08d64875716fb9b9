import { CompletionText } from '@mimosarock/stand-ins/engine/completion-text.js'
import { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'
import type { ModelEngineOptions } from '@mimosarock/stand-ins/model-engine-options.js'
import { WeightStoreStandIn } from '@mimosarock/stand-ins/weight-store-stand-in.js'
import { afterEach, describe, expect, test } from 'vitest'
import { waitUntil } from './wait-until.js'

const MESSAGES = [{ role: 'user', content: 'what is left on the list of Ada and Ben?' }]

const engines: ModelEngineStandIn[] = []
afterEach(async () => {
  for (const engine of engines.splice(0)) await engine.stop()
})

async function startEngine (options: ModelEngineOptions = {}): Promise<ModelEngineStandIn> {
  const engine = new ModelEngineStandIn({ tokenMs: 1, tokenMsPerRequest: 0, prefillMsPerToken: 0, ...options })
  await engine.start()
  engines.push(engine)
  return engine
}

interface CallOptions {
  readonly id?: string
  readonly key?: string
  readonly priority?: number
  readonly body?: Record<string, unknown>
  readonly signal?: AbortSignal
}

function complete (engine: ModelEngineStandIn, options: CallOptions = {}): Promise<Response> {
  const headers: Record<string, string> = { 'x-request-id': options.id ?? 'r' }
  if (options.key !== undefined) headers['x-cache-key'] = options.key
  if (options.priority !== undefined) headers['x-priority'] = `${options.priority}`
  const body = JSON.stringify({ model: 'm', messages: MESSAGES, max_tokens: 4, ...options.body })
  return fetch(`http://${engine.address}/v1/chat/completions`, { method: 'POST', headers, body, signal: options.signal })
}

async function get (engine: ModelEngineStandIn, path: string): Promise<any> {
  const response = await fetch(`http://${engine.address}${path}`)
  return response.ok ? await response.json() : response.status
}

async function send (engine: ModelEngineStandIn, method: string, path: string, body?: unknown): Promise<string> {
  try {
    const response = await fetch(`http://${engine.address}${path}`, { method, body: body === undefined ? undefined : JSON.stringify(body) })
    return `${response.status} ${await response.text()}`
  } catch {
    return 'broken'
  }
}

/** Formats server-sent events as `id content`. */
function eventsOf (text: string): string[] {
  return text.split('\n\n').filter((event) => event !== '').map((event) => {
    const [, id, data = ''] = /^id: (\d+)\ndata: (.*)$/.exec(event) ?? []
    if (data === '[DONE]') return `${id} [DONE]`
    const chunk = JSON.parse(data)
    if (chunk.usage !== undefined) return `${id} usage ${chunk.usage.prompt_tokens}+${chunk.usage.completion_tokens} cached ${chunk.usage.prompt_tokens_details.cached_tokens}`
    const choice = chunk.choices[0]
    return `${id} ${choice.finish_reason ?? `${choice.delta.role ?? ''}${choice.delta.content}`}`
  })
}

async function describeUsage (engine: ModelEngineStandIn, options: CallOptions): Promise<string> {
  const body = await (await complete(engine, options)).json() as any
  return `${body.usage.prompt_tokens} prompt, ${body.usage.prompt_tokens_details.cached_tokens} cached`
}

describe('completions', () => {
  test('a completion and a stream carry the same text', async () => {
    const engine = await startEngine()
    const fullCompletion = await (await complete(engine)).json() as any
    const stream = await (await complete(engine, { body: { stream: true, stream_options: { include_usage: true } } })).text()
    expect(fullCompletion.choices[0].message.content).toBe(new CompletionText(MESSAGES).text(4))
    expect(eventsOf(stream)).toMatchInlineSnapshot(`
      [
        "0 assistant r2brun",
        "1  15am978",
        "2  1nosewe",
        "3  6nwddl",
        "4 length",
        "5 usage 10+4 cached 0",
        "6 [DONE]",
      ]
    `)
  })

  test('a stream can be resumed from any event, even after its end', async () => {
    const engine = await startEngine()
    const all = eventsOf(await (await complete(engine, { body: { stream: true } })).text())
    for (let from = 0; from <= all.length; from += 1) {
      const rest = await (await fetch(`http://${engine.address}/v1/streams/r?from=${from}`)).text()
      expect(eventsOf(rest)).toEqual(all.slice(from))
    }
    expect(await get(engine, '/v1/streams/other')).toBe(404)
  })

  test('a stream whose connection breaks keeps running and can be resumed', async () => {
    const engine = await startEngine()
    engine.faults.brokenStreams = 1
    engine.faults.breakAfterTokens = 2
    const reader = (await complete(engine, { body: { stream: true, max_tokens: 50 } })).body?.getReader()
    const seen: string[] = []
    const decoder = new TextDecoder()
    try {
      for (let result = await reader?.read(); result?.done === false; result = await reader?.read()) seen.push(...eventsOf(decoder.decode(result.value)))
    } catch { /* the engine broke the connection */ }
    const rest = eventsOf(await (await fetch(`http://${engine.address}/v1/streams/r?from=${seen.length}`)).text())
    expect([...seen, ...rest].length).toBe(52)
    expect([...seen, ...rest].map((event) => Number(event.split(' ')[0]))).toEqual(Array.from({ length: 52 }, (_, id) => id))
  })

  test('a stream without readers is canceled after the resume window', async () => {
    const engine = await startEngine({ resumeWindowMs: 5 })
    const controller = new AbortController()
    const response = await complete(engine, { body: { stream: true, max_tokens: 1_000_000 }, signal: controller.signal })
    expect(response.status).toBe(200)
    expect(engine.runningCount).toBe(1)
    controller.abort()
    await waitUntil(() => engine.runningCount === 0)
    expect(await get(engine, '/v1/streams/r')).toBe(404)
  })

  test('a canceled stream ends and frees its place in the batch', async () => {
    const engine = await startEngine()
    const response = await complete(engine, { body: { stream: true, max_tokens: 1_000_000 } })
    expect([await send(engine, 'DELETE', '/v1/streams/r'), await send(engine, 'DELETE', '/v1/streams/unknown')]).toEqual(['204 ', '204 '])
    await expect(response.text()).rejects.toThrow()
    expect(engine.runningCount).toBe(0)
  })

  test('silenced connections stay open without carrying data, and new connections work', async () => {
    const engine = await startEngine()
    const controller = new AbortController()
    const silent = await complete(engine, { body: { stream: true, max_tokens: 30 }, signal: controller.signal })
    engine.server.silenceConnections()
    const resumed = eventsOf(await (await fetch(`http://${engine.address}/v1/streams/r?from=0`)).text())
    expect(resumed.length).toBe(32)
    const ended = await Promise.race([silent.text().then(() => 'ended', () => 'broke'), new Promise((resolve) => setTimeout(resolve, 50, 'silent'))])
    expect(ended).toBe('silent')
    controller.abort()
  })
})

describe('batch and cache', () => {
  test('streams beyond the capacity are queued and join by priority', async () => {
    const engine = await startEngine({ capacity: 1 })
    engine.faults.stalled = true
    const finished: string[] = []
    const calls: Array<Promise<unknown>> = []
    for (const [id, priority] of [['first', 0], ['low', 1], ['high', 9], ['middle', 5], ['high-later', 9]] as const) {
      calls.push(complete(engine, { id, priority }).then((response) => response.text()).then(() => finished.push(id)))
      await waitUntil(() => engine.runningCount + engine.waitingCount === calls.length)
    }
    engine.faults.stalled = false
    await Promise.all(calls)
    expect(finished).toEqual(['first', 'high', 'high-later', 'middle', 'low'])
  })

  test('a returning chat hits the prefix cache until its tokens are evicted', async () => {
    const engine = await startEngine({ cacheLimitTokens: 32 })
    const longer = { messages: [...MESSAGES, { role: 'assistant', content: 'x'.repeat(16) }, { role: 'user', content: 'and now?' }] }
    const lines = [
      await describeUsage(engine, { key: 'a' }),
      await describeUsage(engine, { key: 'a', body: longer }),
      await describeUsage(engine, { key: 'b' }),
      await describeUsage(engine, { key: 'a' }),
      await describeUsage(engine, {})
    ]
    expect(lines).toMatchInlineSnapshot(`
      [
        "10 prompt, 0 cached",
        "16 prompt, 14 cached",
        "10 prompt, 0 cached",
        "10 prompt, 0 cached",
        "10 prompt, 0 cached",
      ]
    `)
    expect(await get(engine, '/v1/cache-events?after=0')).toMatchInlineSnapshot(`
      {
        "events": [
          {
            "cache_key": "a",
            "kind": "stored",
            "sequence": 1,
            "tokens": 14,
          },
          {
            "cache_key": "a",
            "kind": "stored",
            "sequence": 2,
            "tokens": 20,
          },
          {
            "cache_key": "b",
            "kind": "stored",
            "sequence": 3,
            "tokens": 14,
          },
          {
            "cache_key": "a",
            "kind": "evicted",
            "sequence": 4,
            "tokens": 20,
          },
          {
            "cache_key": "a",
            "kind": "stored",
            "sequence": 5,
            "tokens": 14,
          },
        ],
        "newest": 5,
        "oldest": 1,
      }
    `)
  })

  test('cache events are published with a lag and with gaps', async () => {
    const engine = await startEngine()
    engine.faults.cacheEventLagMs = 60_000
    await describeUsage(engine, { key: 'a' })
    const early = await get(engine, '/v1/cache-events?after=0')
    engine.faults.cacheEventLagMs = 0
    const late = await get(engine, '/v1/cache-events?after=0&wait_ms=1000')
    engine.faults.cacheEventLossProbability = 1
    await describeUsage(engine, { key: 'b' })
    engine.faults.cacheEventLossProbability = 0
    await describeUsage(engine, { key: 'c' })
    const afterLoss = await get(engine, '/v1/cache-events?after=1')
    engine.dropCacheEvents()
    const afterDrop = await get(engine, '/v1/cache-events?after=1')
    const sequences = [early, late, afterLoss, afterDrop].map((page) => `${page.oldest}-${page.newest}: ${page.events.map((event: any) => event.sequence).join(' ')}`)
    expect(sequences).toMatchInlineSnapshot(`
      [
        "1-0: ",
        "1-1: 1",
        "1-3: 3",
        "4-1: ",
      ]
    `)
  })

  test('a restart clears the cache and restarts the event sequence', async () => {
    const engine = await startEngine()
    await describeUsage(engine, { key: 'a' })
    await describeUsage(engine, { key: 'b' })
    engine.restart()
    // The client may reuse a pooled connection before it notices that the engine has closed it.
    await expect.poll(() => get(engine, '/v1/cache-events?after=2'), { timeout: 10_000 }).toEqual({ oldest: 1, newest: 1, events: [{ sequence: 1, kind: 'cleared', cache_key: '', tokens: 0 }] })
    expect(await describeUsage(engine, { key: 'a' })).toBe('10 prompt, 0 cached')
  })

  test('a cache is transferred to another engine', async () => {
    const [from, to] = [await startEngine(), await startEngine()]
    await describeUsage(from, { key: 'a' })
    const imported = await send(to, 'POST', '/v1/kv/import', { cache_key: 'a', source: from.address })
    const missing = await send(to, 'POST', '/v1/kv/import', { cache_key: 'z', source: from.address })
    expect([imported, missing, await describeUsage(to, { key: 'a' })]).toEqual(['200 {"tokens":14,"bytes":1792}', '404 {"error":{"message":"the source engine did not export the cache"}}', '10 prompt, 10 cached'])
  })

  test('the load report lags', async () => {
    const engine = await startEngine()
    engine.faults.stalled = true
    engine.faults.loadLagMs = 60_000
    const call = complete(engine)
    await waitUntil(() => engine.runningCount === 1)
    const lagged = await get(engine, '/v1/load')
    engine.faults.loadLagMs = 0
    const current = await get(engine, '/v1/load')
    engine.faults.stalled = false
    await (await call).text()
    expect([lagged.running, current.running, (await get(engine, '/v1/load')).running]).toEqual([0, 1, 0])
  })
})

describe('orders', () => {
  test.each([true, false])('an engine rejects an order with a lower fencing number if it checks fencing numbers: %s', async (checksFencing) => {
    const engine = await startEngine({ checksFencing })
    const responses = [
      await send(engine, 'PUT', '/v1/orders', { fencing_number: 12, models: ['m', 'n'], adapters: ['a'], role: 'mixed' }),
      await send(engine, 'PUT', '/v1/orders', { fencing_number: 11, models: ['m'], adapters: [], role: 'decode' }),
      await send(engine, 'PUT', '/v1/orders', { fencing_number: 12, models: ['m'] }),
      JSON.stringify((await get(engine, '/v1/models')).data.map((model: any) => model.id))
    ]
    expect(responses).toMatchSnapshot()
  })

  test('an engine serves a model only after the model was fetched from the weight store', async () => {
    const store = new WeightStoreStandIn(1_000_000, 20_000)
    const engines = [await startEngine({ weightStore: store }), await startEngine({ weightStore: store })]
    for (const engine of engines) engine.orders.apply({ fencing_number: 1, models: ['m', 'n'] })
    expect(await (await complete(engines[0] as ModelEngineStandIn, { body: { model: 'n' } })).status).toBe(404)
    await waitUntil(() => store.fetched.length === 2)
    expect(engines.map((engine) => engine.orders.loadedModels)).toEqual([['m', 'n'], ['m', 'n']])
  })

  test('an order whose response is lost is applied', async () => {
    const engine = await startEngine()
    engine.faults.lostOrderAnswers = true
    expect(await send(engine, 'PUT', '/v1/orders', { fencing_number: 3, models: [] })).toBe('broken')
    expect((await get(engine, '/v1/orders')).fencing_number).toBe(3)
  })
})

test.each([
  ['failing', '500', '500'],
  ['refusing', '503', '200']
] as const)('an engine that is %s responds with %s to a completion and %s to a probe', async (fault, completion, probe) => {
  const engine = await startEngine()
  engine.faults[fault] = true
  expect([`${(await complete(engine)).status}`, (await send(engine, 'GET', '/healthz')).slice(0, 3)]).toEqual([completion, probe])
  expect(engine.counts.completions).toBe(0)
})
