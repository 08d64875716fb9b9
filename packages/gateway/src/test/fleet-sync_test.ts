import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { FleetSync } from '@mimosarock/gateway/membership/fleet-sync.js'
import { RouterTable } from '@mimosarock/gateway/membership/router-table.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import type { SyncClient } from '@mimosarock/gateway/membership/sync-client.js'

const clock = { now: () => performance.now() + 100_000 }

/** What the other routers are like. */
interface Others {
  readonly count: number
  readonly answer: (address: string) => Partial<SyncAnswer> | undefined
  readonly isStoreFailing?: boolean
}

/** Runs rounds of a router among others until something is so, and returns who was asked. */
async function runUntil (others: Others, condition: (sync: FleetSync, asked: readonly string[]) => boolean): Promise<{ sync: FleetSync, asked: string[] }> {
  const routers = new RouterTable({ name: 'self', availabilityZone: 'z', address: 'self' }, clock)
  for (let index = 0; index < others.count; index += 1) routers.heard({ name: `r${index}`, availabilityZone: 'z', address: `r${index}` }, 0)
  const asked: string[] = []
  const client = {
    sync: async (address: string) => {
      asked.push(address)
      const answer = others.answer(address)
      if (answer === undefined) throw new Error('no answer')
      return { distance: 0, configurationAgeMs: 10, endpointsAgeMs: 10, ...answer }
    },
    takeLoad: () => undefined
  } as unknown as SyncClient
  const sync = new FleetSync({ routers, client, seeds: [], isStoreFailing: () => others.isStoreFailing === true }, clock, new SilentEventLog())
  const ending = new AbortController()
  const running = sync.run(ending.signal)
  while (!condition(sync, asked)) await sleep(5)
  ending.abort()
  await running
  return { sync, asked }
}

test('a router alone reads the store', async () => {
  const { sync } = await runUntil({ count: 0, answer: () => undefined }, (running) => running.isReader)
  expect(sync.isReader).toBe(true)
})

test('of routers that all read with success, all but the first follow it', async () => {
  const order = (name: string): readonly string[] => {
    const table = new RouterTable({ name, availabilityZone: 'z', address: name }, clock)
    for (let index = 0; index < 5; index += 1) table.heard({ name: `r${index}`, availabilityZone: 'z', address: `r${index}` }, 0)
    return table.inReaderOrder().map((router) => router.name)
  }
  const isFirst = order('self')[0] === 'self'
  const { sync, asked } = await runUntil({ count: 5, answer: () => ({}) }, (running, calls) => running.isReader || calls.length > 2)
  expect(sync.isReader).toBe(isFirst)
  expect(new Set(asked).size).toBeLessThanOrEqual(1)
})

test('a router that is only fed by others spares nobody the reading', async () => {
  const { sync } = await runUntil({ count: 3, answer: () => ({ distance: 1 }) }, (running) => running.isReader)
  expect(sync.isReader).toBe(true)
})

test('an outage among very many routers: few are asked in a round, and the router reads itself', async () => {
  const { asked } = await runUntil({ count: 200, answer: () => undefined }, (running) => running.isReader)
  expect(asked.length).toBeLessThanOrEqual(4)
})

test('a router that the store refuses asks those after it as well', async () => {
  const { asked } = await runUntil({ count: 3, answer: () => ({}), isStoreFailing: true }, (_running, calls) => calls.length > 0)
  expect(asked.length).toBeGreaterThan(0)
})
