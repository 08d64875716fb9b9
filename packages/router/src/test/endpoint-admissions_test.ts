import { expect, test } from 'vitest'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { AdmissionTicket } from '@mimosarock/placement/admission-ticket.js'
import type { DispatchCall } from '../forward/dispatch-call.js'
import { CacheIndex } from '../contexts/cache-index.js'
import type { PoolAdmissions } from '../admission/pool-admissions.js'
import { AdmissionFleet } from './admission-fleet.js'

const chat = 'aaaaaaaaaaaaaaaa'

async function admit (fleet: AdmissionFleet, changes: Partial<DispatchCall>): Promise<AdmissionTicket> {
  const call = fleet.call(changes)
  return await fleet.ownerOf(call.endpoint).components.admissions.admit(call, new AbortController().signal)
}

/** Returns the outcome as text: `admitted`, `waiting`, or the name of the refusal's code and its field. */
async function outcome (promise: Promise<AdmissionTicket>): Promise<string> {
  const waiting = new Promise<string>((resolve) => setImmediate(() => setImmediate(() => resolve('waiting'))))
  return await Promise.race([waiting, promise.then(() => 'admitted', (error: unknown) => {
    if (!(error instanceof MimosarockError)) throw error
    expect(error.run).toBe(RunState.NOT_RUN)
    const name = Object.entries(ResultCode).find(([, code]) => code === error.code)?.[0] ?? ''
    return error.field === undefined ? name : `${name} ${error.field}`
  })])
}

/** Fills an endpoint up to its load bound with calls of other chats, whose contexts no endpoint holds. */
async function fill (fleet: AdmissionFleet, endpoint: string): Promise<AdmissionTicket[]> {
  const tickets: AdmissionTicket[] = []
  for (let number = 0; ; number += 1) {
    const affinityKey = String(number).padStart(16, '0')
    try {
      tickets.push(await admit(fleet, { endpoint, affinityKey }))
    } catch {
      return tickets
    }
  }
}

test('a displaced chat is redirected to the endpoint with its context on its first attempt only', async () => {
  const fleet = new AdmissionFleet(1, 4)
  fleet.member(0).components.displacementReports.recordDisplacement('chat', chat, 'e0', 'e2')
  expect(await outcome(admit(fleet, {}))).toBe('CONTEXT_ELSEWHERE e2')
  expect(await outcome(admit(fleet, { endpoint: 'e2', attempt: 1 }))).toBe('admitted')
  expect(await outcome(admit(fleet, {}))).toBe('CONTEXT_ELSEWHERE e2')
  expect(await outcome(admit(fleet, { attempt: 2 }))).toBe('admitted')
  // The previous call ran at the primary endpoint, which removed the chat from the directory.
  expect(await outcome(admit(fleet, {}))).not.toContain('CONTEXT_ELSEWHERE')
})

test('reports of displaced chats reach the owner of the primary endpoint', async () => {
  const fleet = new AdmissionFleet(3, 6)
  const owner = fleet.ownerOf('e0')
  const reporter = fleet.members.find((member) => member !== owner) as typeof owner
  reporter.components.displacementReports.recordDisplacement('chat', chat, 'e0', 'e2')
  reporter.components.displacementReports.recordDisplacement('chat', 'bbbbbbbbbbbbbbbb', 'e0', 'e3')
  expect(await outcome(admit(fleet, {}))).toBe('admitted')
  await fleet.clock.advance(250)
  expect(owner.components.displacedChats.size).toBe(2)
  expect(await outcome(admit(fleet, {}))).toBe('CONTEXT_ELSEWHERE e2')
})

test.each([
  { name: 'refuses a chat whose context it holds if the pool sets no context wait', contextWaitMs: 0, holds: true, expected: 'ENDPOINT_OVER_BOUND e0' },
  { name: 'refuses a chat whose context it does not hold', contextWaitMs: 300, holds: false, expected: 'ENDPOINT_OVER_BOUND' },
  { name: 'queues a chat whose context it holds', contextWaitMs: 300, holds: true, expected: 'waiting' }
])('an endpoint at its load bound $name', async ({ contextWaitMs, holds, expected }) => {
  const fleet = new AdmissionFleet(1, 4, { contextWaitMs })
  const tickets = await fill(fleet, 'e0')
  expect(tickets.length).toBeGreaterThan(0)
  if (holds) fleet.addHeldContext('e0', chat)
  const admission = admit(fleet, {})
  expect(await outcome(admission)).toBe(expected)
  if (expected !== 'waiting') return
  tickets[0]?.release()
  expect(await outcome(admission)).toBe('admitted')
})

test.each([
  { name: 'imported from the named holder', pool: { carryContext: true }, call: { contextHolder: 'e0' }, imports: [`address-1 ${chat} address-0`] },
  { name: 'not imported if the pool disables it', pool: {}, call: { contextHolder: 'e0' }, imports: [] },
  { name: 'not imported if no holder is known', pool: { carryContext: true }, call: {}, imports: [] },
  { name: 'not imported by the holder itself', pool: { carryContext: true }, call: { contextHolder: 'e1' }, imports: [] },
  { name: 'not imported if the prompt is too short to justify the transfer', pool: { carryContext: true }, call: { contextHolder: 'e0', promptTokens: 20 }, imports: [] }
])('a context is $name', async ({ pool, call, imports }) => {
  const fleet = new AdmissionFleet(1, 4, pool)
  expect(await outcome(admit(fleet, { endpoint: 'e1', attempt: 1, ...call }))).toBe('admitted')
  expect(fleet.imports).toEqual(imports)
})

test('an answered call records the endpoint as holder of the context, and an unanswered call does not', async () => {
  const fleet = new AdmissionFleet(1, 4)
  const heldContexts = fleet.member(0).components.admissions.heldContextsOf('chat', 'e0')
  const unanswered = await admit(fleet, {})
  unanswered.release()
  expect(heldContexts?.tokensOf(chat)).toBe(undefined)
  const answered = await admit(fleet, {})
  answered.recordFirstByte()
  answered.release()
  expect(heldContexts?.tokensOf(chat)).toBe(10_000)
})

test('every owner receives the mean load of the pool', async () => {
  const fleet = new AdmissionFleet(4, 12)
  const means = (): number[] => fleet.members.map((member) => member.components.admissions.pools.get('chat')?.load.mean() ?? -1)
  const exchange = async (): Promise<void> => {
    for (let round = 0; round < 2; round += 1) for (const member of fleet.members) await member.components.loadExchange.exchange()
  }
  await exchange()
  const tickets: AdmissionTicket[] = []
  for (let endpoint = 0; endpoint < 6; endpoint += 1) tickets.push(await admit(fleet, { endpoint: `e${endpoint}` }))
  await exchange()
  const expectedMean = 6 / (12 * 16)
  for (const mean of means()) expect(mean).toBeCloseTo(expectedMean, 2)
  fleet.failed.add('e0').add('e11')
  await exchange()
  for (const mean of means()) expect(mean).toBeCloseTo(5 / (10 * 16), 2)
})

test('the load exchange recovers from the loss of any one router', async () => {
  const fleet = new AdmissionFleet(4, 12)
  for (let endpoint = 0; endpoint < 12; endpoint += 1) await admit(fleet, { endpoint: `e${endpoint}` })
  for (const lost of [0, 1, 2, 3]) {
    const others = [0, 1, 2, 3].filter((index) => index !== lost)
    fleet.unreachable.clear()
    fleet.unreachable.add(`p${lost}`)
    for (const viewer of others) fleet.setView(viewer, others)
    await fleet.clock.advance(5_001)
    for (let round = 0; round < 2; round += 1) for (const viewer of others) await fleet.member(viewer).components.loadExchange.exchange()
    const loads = others.map((index) => fleet.member(index).components.admissions.pools.get('chat')?.load.total())
    for (const total of loads) expect(total?.capacity).toBe(12 * 16)
  }
})

test('an unreachable owner computes the mean load from its own endpoints alone', async () => {
  const fleet = new AdmissionFleet(4, 12)
  for (const member of fleet.members) fleet.unreachable.add(member.self.peerAddress)
  await Promise.all(fleet.members.map(async (member) => await member.components.loadExchange.exchange()))
  for (const member of fleet.members) {
    const total = member.components.admissions.pools.get('chat')?.load.total()
    expect(total?.capacity).toBe((member.components.admissions.pools.get('chat')?.owned.size ?? 0) * 16)
  }
})

// Event 1 stores the chat's context, event 2 evicts it, and event 3 concerns another chat and follows a gap.
test.each([
  { name: 'counts if its last event reported it as stored', pages: [[1]], expected: 'ENDPOINT_OVER_BOUND e0' },
  { name: 'does not count if a later event was missed', pages: [[1], [3]], expected: 'ENDPOINT_OVER_BOUND' },
  { name: 'does not count if it was evicted', pages: [[1], [2]], expected: 'ENDPOINT_OVER_BOUND' }
])('a context known from cache events $name', async ({ pages, expected }) => {
  const fleet = new AdmissionFleet(1, 4)
  await fill(fleet, 'e0')
  const cache = new CacheIndex(fleet.clock, 100)
  for (const sequences of pages) {
    const events = sequences.map((sequence) => ({ sequence, kind: sequence === 2 ? 'evicted' as const : 'stored' as const, cache_key: sequence === 3 ? 'other' : chat, tokens: 10 }))
    cache.apply({ oldest: sequences[0] ?? 1, newest: sequences.at(-1) ?? 1, events })
  }
  fleet.caches.set('e0', cache)
  expect(await outcome(admit(fleet, {}))).toBe(expected)
})

test('load that an engine reports beyond this router\'s own calls counts against the bound', async () => {
  const fleet = new AdmissionFleet(1, 4)
  const report = (running: number): void => {
    for (const listener of fleet.reportListeners) listener('chat', 'e0', { running, waiting: 0, capacity: 16, cachedTokens: 0, cacheLimitTokens: 0, receivedAt: 0 })
  }
  report(9)
  expect(await outcome(admit(fleet, {}))).toBe('ENDPOINT_OVER_BOUND')
  report(0)
  expect(await outcome(admit(fleet, {}))).toBe('admitted')
})

test('an endpoint admits calls up to its new capacity after a configuration change', async () => {
  const fleet = new AdmissionFleet(1, 1)
  const admissions = fleet.member(0).components.admissions.pools.get('chat') as PoolAdmissions
  const endpoints = admissions.pool.endpoints.map((endpoint) => ({ ...endpoint, capacity: 32 }))
  admissions.update({ ...admissions.pool, endpoints })
  expect((await fill(fleet, 'e0')).length).toBe(32)
})
