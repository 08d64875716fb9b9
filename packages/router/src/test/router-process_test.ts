import { randomUUID } from 'node:crypto'
import OpenAI from 'openai'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { RouterFixture } from './router-fixture.js'

const fixture = new RouterFixture()
const messages = (text: string): Array<{ role: 'user', content: string }> => [{ role: 'user', content: text }]

function client (router: number, chat?: string): OpenAI {
  return new OpenAI({
    apiKey: 'unused',
    baseURL: `${fixture.url(router)}/v1`,
    maxRetries: 0,
    defaultHeaders: { 'Mimosarock-Workspace': 'alpha', ...(chat === undefined ? {} : { 'Mimosarock-Chat': chat }) }
  })
}

beforeAll(async () => {
  await fixture.start(3, 4)
  await fixture.configure()
})
afterAll(async () => await fixture.stop())

describe('chat completions through the official client', () => {
  test('returns a complete response', async () => {
    const completion = await client(0).chat.completions.create({ model: 'assistant', messages: messages('hello there'), max_tokens: 5 })
    expect(completion.choices[0]?.message.content?.length).toBeGreaterThan(0)
    expect(completion.usage?.completion_tokens).toBe(5)
  })

  test('returns the same text streamed and unstreamed', async () => {
    const unstreamed = await client(1).chat.completions.create({ model: 'assistant', messages: messages('tell me'), max_tokens: 12 })
    const stream = await client(2).chat.completions.create({ model: 'assistant', messages: messages('tell me'), max_tokens: 12, stream: true })
    let text = ''
    for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
    expect(text).toBe(unstreamed.choices[0]?.message.content)
  })

  test('routes a returning chat to the same endpoint from every router, where its context is cached', async () => {
    const endpoints = new Set<string | null>()
    let cached = 0
    for (const router of [0, 1, 2]) {
      const { data, response } = await client(router, 'chat-1').chat.completions
        .create({ model: 'assistant', messages: messages('the same long opening of a chat that returns again and again'), max_tokens: 3 }).withResponse()
      endpoints.add(response.headers.get('mimosarock-endpoint'))
      cached = data.usage?.prompt_tokens_details?.cached_tokens ?? 0
    }
    expect(endpoints.size).toBe(1)
    expect(cached).toBeGreaterThan(0)
  })

  test('lists the models of a workspace', async () => {
    const models = await client(0).models.list()
    expect(models.data.map((model) => model.id)).toEqual(['assistant', 'other'])
  })

  test('resumes a stream after its connection times out, without lost or repeated events', async () => {
    const question = messages('a stream that is cut in the middle')
    const unstreamed = await client(0).chat.completions.create({ model: 'assistant', messages: question, max_tokens: 60 })
    const stream = await client(0).chat.completions.create({ model: 'assistant', messages: question, max_tokens: 60, stream: true })
    let text = ''
    let chunks = 0
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? ''
      chunks += 1
      if (chunks === 5) for (const engine of fixture.engines) engine.server.silenceConnections()
    }
    expect(text).toBe(unstreamed.choices[0]?.message.content)
  })

  test('recomputes a stream after a restart of its engine and continues where it was interrupted', async () => {
    const question = messages('a stream that its engine forgets')
    const unstreamed = await client(0).chat.completions.create({ model: 'assistant', messages: question, max_tokens: 60 })
    const stream = await client(0).chat.completions.create({ model: 'assistant', messages: question, max_tokens: 60, stream: true })
    let text = ''
    let chunks = 0
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? ''
      chunks += 1
      if (chunks === 5) for (const engine of fixture.engines) engine.restart()
    }
    expect(text).toBe(unstreamed.choices[0]?.message.content)
  })

  test('ends a stream with an error if its engine is lost permanently', async () => {
    const stream = await client(1).chat.completions.create({ model: 'assistant', messages: messages('an engine that restarts'), max_tokens: 80, stream: true })
    const read = async (): Promise<void> => {
      let chunks = 0
      for await (const chunk of stream) {
        chunks += chunk.choices.length
        if (chunks !== 5) continue
        for (const engine of fixture.engines) {
          engine.faults.refusing = true
          engine.restart()
        }
      }
    }
    await expect(read()).rejects.toThrow(/broke off/)
    for (const engine of fixture.engines) engine.faults.refusing = false
  })
})

describe('interrupted unstreamed responses', () => {
  test('are requested again when the engine restarts', async () => {
    const pending = client(0).chat.completions.create({ model: 'assistant', messages: messages('restart while whole'), max_tokens: 60 })
    await fixture.until(() => fixture.engines.some((engine) => engine.runningCount > 0))
    for (const engine of fixture.engines) engine.restart()
    expect((await pending).usage?.completion_tokens).toBe(60)
  })

  test('are resumed when the connection times out', async () => {
    const pending = client(0).chat.completions.create({ model: 'assistant', messages: messages('silent while whole'), max_tokens: 60 })
    await fixture.until(() => fixture.engines.some((engine) => engine.runningCount > 0))
    for (const engine of fixture.engines) engine.server.silenceConnections()
    expect((await pending).usage?.completion_tokens).toBe(60)
  })
})

describe('rejected requests', () => {
  const chat = JSON.stringify({ model: 'assistant', messages: messages('x') })
  const json = { 'content-type': 'application/json' }
  const alpha = { ...json, 'mimosarock-workspace': 'alpha' }
  const cases: Array<[string, string, RequestInit, number, number]> = [
    ['malformed JSON', '/v1/chat/completions', { method: 'POST', headers: alpha, body: '{' }, 400, 2001],
    ['an unsupported content type', '/v1/chat/completions', { method: 'POST', headers: { ...alpha, 'content-type': 'text/plain' }, body: chat }, 415, 2002],
    ['an oversized body', '/v1/chat/completions', { method: 'POST', headers: alpha, body: 'x'.repeat(200_000) }, 413, 2003],
    ['an oversized header', '/v1/chat/completions', { method: 'POST', headers: { ...alpha, 'x-large': 'x'.repeat(30_000) }, body: chat }, 431, 2004],
    ['no workspace', '/v1/chat/completions', { method: 'POST', headers: json, body: chat }, 400, 2005],
    ['an unknown workspace', '/v1/chat/completions', { method: 'POST', headers: { ...json, 'mimosarock-workspace': 'zeta' }, body: chat }, 403, 2006],
    ['an unknown model', '/v1/chat/completions', { method: 'POST', headers: alpha, body: chat.replace('assistant', 'nothing') }, 404, 2007],
    ['an unknown route', '/services/nothing/at/all', { headers: alpha }, 404, 2008],
    ['a model that the workspace is not allowed to use', '/v1/chat/completions', { method: 'POST', headers: { ...json, 'mimosarock-workspace': 'limited' }, body: chat }, 403, 2009],
    ['a field of the wrong type', '/v1/chat/completions', { method: 'POST', headers: alpha, body: '{"model":"assistant","messages":"x"}' }, 400, 2010],
    ['an unsupported method', '/v1/chat/completions', { headers: alpha }, 405, 2011],
    ['an unknown path', '/nothing', {}, 404, 2012],
    ['a missing idempotency key', '/services/payments/pay', { method: 'POST', headers: alpha, body: '{}' }, 400, 4001]
  ]
  test.each(cases)('%s', async (_, path, init, status, code) => {
    const response = await fetch(`${fixture.url(0)}${path}`, init)
    const problem = await response.json() as Record<string, unknown>
    expect({ status: response.status, code: problem.code, run: problem.run }).toEqual({ status, code, run: 'not-run' })
    expect(response.headers.get('content-type')).toBe('application/problem+json')
  })
})

describe('calls that must not run twice', () => {
  const pay = async (router: number, key: string, body = '{"amount":5}'): Promise<Response> => await fetch(`${fixture.url(router)}/services/payments/pay`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'mimosarock-workspace': 'alpha', 'idempotency-key': key, 'idempotency-key-time': String(Date.now()) },
    body
  })

  test('run once and return one response if sent twice through two routers', async () => {
    const key = randomUUID()
    const first = await pay(0, key)
    const again = await pay(1, key)
    expect([first.status, again.status]).toEqual([200, 200])
    expect(await again.text()).toBe(await first.text())
    expect(fixture.service.runsOf(key)).toBe(1)
  })

  test('run once if sent concurrently with the same key', async () => {
    const key = randomUUID()
    const responses = await Promise.all([0, 1, 2, 0, 1, 2].map(async (router) => await pay(router, key)))
    expect(responses.some((response) => response.status === 200)).toBe(true)
    expect(fixture.service.runsOf(key)).toBe(1)
  })

  test('are rejected if the key is reused with a different body', async () => {
    const key = randomUUID()
    await pay(0, key)
    const other = await pay(1, key, '{"amount":6}')
    expect(await other.json()).toMatchObject({ code: 4004, run: 'not-run' })
  })

  test('are rejected as not run during a log outage, which does not affect chats', async () => {
    fixture.log.startOutage()
    try {
      const key = randomUUID()
      const rejected = await pay(0, key)
      expect(await rejected.json()).toMatchObject({ code: 4008, run: 'not-run' })
      expect(rejected.headers.get('retry-after')).not.toBeNull()
      expect(fixture.service.runsOf(key)).toBe(0)
      const completion = await client(1).chat.completions.create({ model: 'assistant', messages: messages('during the outage'), max_tokens: 2 })
      expect(completion.usage?.completion_tokens).toBe(2)
    } finally {
      fixture.log.endOutage()
    }
  })
})

describe('a graceful stop', () => {
  test('completes all requests in flight', async () => {
    const router = fixture.routers[2]
    const streams = await Promise.all([1, 2, 3, 4].map(async (chat) => await client(2, `stop-${chat}`).chat.completions
      .create({ model: 'assistant', messages: messages('a long answer'), max_tokens: 60, stream: true })))
    const stopped = router?.stop()
    const counts = await Promise.all(streams.map(async (stream) => {
      let tokens = 0
      for await (const chunk of stream) tokens += chunk.choices[0]?.delta.content === undefined ? 0 : 1
      return tokens
    }))
    expect(await stopped).toBe(0)
    expect(counts.every((count) => count >= 60)).toBe(true)
  })
})

describe('unstreamed responses', () => {
  test('are assembled from a stream with the same content as the unstreamed response of the engine', async () => {
    const body = JSON.stringify({ model: 'assistant', messages: messages('compare both ways'), max_tokens: 9 })
    const headers = { 'content-type': 'application/json', 'mimosarock-workspace': 'alpha' }
    const withoutVolatileFields = (response: Record<string, unknown>): unknown => ({ ...response, id: '', created: 0, usage: { ...response.usage as object, prompt_tokens_details: {} } })
    const routed = await (await fetch(`${fixture.url(0)}/v1/chat/completions`, { method: 'POST', headers, body })).json() as Record<string, unknown>
    const direct = await (await fetch(`http://${fixture.engines[0]?.address ?? ''}/v1/chat/completions`, { method: 'POST', headers, body })).json() as Record<string, unknown>
    expect(withoutVolatileFields(routed)).toEqual(withoutVolatileFields(direct))
  })
})
