import { afterEach, beforeEach, expect, test } from 'vitest'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { LogService } from '../log-service.js'
import { ConfigurationNode } from './configuration-node.js'
import { eventually } from './eventually.js'
import { LocalNetwork } from './local-network.js'
import { MemoryLogService } from './memory-log-service.js'

let log: MemoryLogService
let network: LocalNetwork
let fleet: ConfigurationNode[]
let ended: AbortController

beforeEach(() => {
  log = new MemoryLogService()
  network = new LocalNetwork()
  fleet = []
  ended = new AbortController()
  const timer = setInterval(() => { for (const node of fleet) node.beat() }, 10)
  ended.signal.addEventListener('abort', () => clearInterval(timer))
})

afterEach(() => {
  ended.abort()
  for (const node of [...fleet]) node.stop()
})

/** The log as a router sees it whose own link to it may be cut. */
class CutLog implements LogService {
  isCut = true

  async append (...words: Parameters<LogService['append']>): Promise<number> {
    if (this.isCut) throw new Error('cut')
    return await log.append(...words)
  }

  async read (...words: Parameters<LogService['read']>): ReturnType<LogService['read']> {
    if (this.isCut) throw new Error('cut')
    const result = await log.read(...words)
    if (this.isCut) throw new Error('cut while the read was under way')
    return result
  }
}

function start (id: string, logService: LogService = log): ConfigurationNode {
  return new ConfigurationNode({ id, logService, network, fleet })
}

async function startFirst (): Promise<ConfigurationNode> {
  const first = start('first')
  await eventually(() => first.configuration.proven)
  await first.setWorkspace('alpha')
  return first
}

test('a router that can not read the log gets state and records from a peer', async () => {
  const first = await startFirst()
  const cut = start('cut', new CutLog())
  expect(await eventually(() => cut.revision === 1)).toBe(true)
  for (const name of ['beta', 'gamma', 'delta']) await first.setWorkspace(name)
  expect(await eventually(() => cut.revision === 4)).toBe(true)
  expect(network.calls.get('log.fetch')).toBeGreaterThan(0)
  expect(network.calls.get('log.state')).toBeGreaterThan(0)
})

test('a router that reaches neither the log nor a peer is not ready, and says how old its configuration is', async () => {
  await startFirst()
  network.cut.add('alone')
  const alone = start('alone', new CutLog())
  expect(await eventually(() => network.calls.size > 0, 100)).toBe(false)
  expect([alone.revision, alone.configuration.stalenessMs, alone.configuration.current()]).toEqual([-1, Infinity, undefined])
  network.cut.clear()
  expect(await eventually(() => alone.revision === 1)).toBe(true)
  network.cut.add('alone')
  ended.abort()
  const before = alone.configuration.stalenessMs
  expect(await eventually(() => alone.configuration.stalenessMs > before)).toBe(true)
})

test('a router whose link to the log comes back goes on from what its peers gave, in order', async () => {
  const first = await startFirst()
  const link = new CutLog()
  const cut = start('cut', link)
  await eventually(() => cut.revision === 1)
  link.isCut = false
  for (let index = 0; index < 30; index += 1) {
    link.isCut = index % 3 === 0
    expect((await first.setWorkspace(`w${index}`)).code).toBe(ResultCode.OK)
  }
  link.isCut = false
  expect(await eventually(() => cut.revision === 31)).toBe(true)
  expect(cut.configuration.fold.encodeState()).toEqual(first.configuration.fold.encodeState())
})

test('a peer that is behind what another router reports proves nothing', async () => {
  const first = await startFirst()
  const link = new CutLog()
  link.isCut = false
  const behind = start('behind', link)
  await eventually(() => behind.revision === 1)
  link.isCut = true
  network.cut.add('behind')
  network.cut.add('first')
  await first.setWorkspace('beta')
  const joiner = start('joiner', new CutLog())
  joiner.replica.adopt(behind.replica.checkpoint())
  for (let index = 0; index < 5; index += 1) behind.beat()
  expect(joiner.revision).toBe(-1)
  network.cut.clear()
  expect(await eventually(() => joiner.revision === 2)).toBe(true)
})
