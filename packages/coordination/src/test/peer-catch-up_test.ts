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
  const timer = setInterval(() => { for (const node of fleet) node.sendHeartbeats() }, 10)
  ended.signal.addEventListener('abort', () => clearInterval(timer))
})

afterEach(() => {
  ended.abort()
  for (const node of [...fleet]) node.stop()
})

/** Connection of one router to the shared log service; a test can disconnect it. */
class DisconnectableLog implements LogService {
  isDisconnected = true

  async append (...parameters: Parameters<LogService['append']>): Promise<number> {
    if (this.isDisconnected) throw new Error('the log service is unreachable')
    return await log.append(...parameters)
  }

  async read (...parameters: Parameters<LogService['read']>): ReturnType<LogService['read']> {
    if (this.isDisconnected) throw new Error('the log service is unreachable')
    const result = await log.read(...parameters)
    if (this.isDisconnected) throw new Error('the connection was interrupted during the read')
    return result
  }
}

function startNode (id: string, logService: LogService = log): ConfigurationNode {
  return new ConfigurationNode({ id, logService, network, fleet })
}

async function startFirstNode (): Promise<ConfigurationNode> {
  const first = startNode('first')
  await eventually(() => first.configuration.proven)
  await first.setWorkspace('alpha')
  return first
}

test('a router that cannot read the log fetches state and records from a peer', async () => {
  const first = await startFirstNode()
  const disconnected = startNode('cut', new DisconnectableLog())
  expect(await eventually(() => disconnected.revision === 1)).toBe(true)
  for (const name of ['beta', 'gamma', 'delta']) await first.setWorkspace(name)
  expect(await eventually(() => disconnected.revision === 4)).toBe(true)
  expect(network.calls.get('log.fetch')).toBeGreaterThan(0)
  expect(network.calls.get('log.state')).toBeGreaterThan(0)
})

test('a router that reaches neither the log nor a peer is not ready, and reports the staleness of its configuration', async () => {
  await startFirstNode()
  network.unreachable.add('alone')
  const alone = startNode('alone', new DisconnectableLog())
  expect(await eventually(() => network.calls.size > 0, 100)).toBe(false)
  expect([alone.revision, alone.configuration.stalenessMs, alone.configuration.current()]).toEqual([-1, Infinity, undefined])
  network.unreachable.clear()
  expect(await eventually(() => alone.revision === 1)).toBe(true)
  network.unreachable.add('alone')
  ended.abort()
  const before = alone.configuration.stalenessMs
  expect(await eventually(() => alone.configuration.stalenessMs > before)).toBe(true)
})

test('a router that reconnects to the log continues in order from the state fetched from peers', async () => {
  const first = await startFirstNode()
  const link = new DisconnectableLog()
  const disconnected = startNode('cut', link)
  await eventually(() => disconnected.revision === 1)
  link.isDisconnected = false
  for (let index = 0; index < 30; index += 1) {
    link.isDisconnected = index % 3 === 0
    expect((await first.setWorkspace(`w${index}`)).code).toBe(ResultCode.OK)
  }
  link.isDisconnected = false
  expect(await eventually(() => disconnected.revision === 31)).toBe(true)
  expect(disconnected.configuration.fold.encodeState()).toEqual(first.configuration.fold.encodeState())
})

test('a peer that is behind the revision reported by another router does not prove a replica current', async () => {
  const first = await startFirstNode()
  const link = new DisconnectableLog()
  link.isDisconnected = false
  const behind = startNode('behind', link)
  await eventually(() => behind.revision === 1)
  link.isDisconnected = true
  network.unreachable.add('behind')
  network.unreachable.add('first')
  await first.setWorkspace('beta')
  const joiner = startNode('joiner', new DisconnectableLog())
  joiner.replica.adopt(behind.replica.checkpoint())
  for (let index = 0; index < 5; index += 1) behind.sendHeartbeats()
  expect(joiner.revision).toBe(-1)
  network.unreachable.clear()
  expect(await eventually(() => joiner.revision === 2)).toBe(true)
})
