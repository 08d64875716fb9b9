import { fromBinary } from '@bufbuild/protobuf'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { LogRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfigurationNode } from './configuration-node.js'
import { eventually } from './eventually.js'
import { LocalNetwork } from './local-network.js'
import { MemoryLogService } from './memory-log-service.js'
import { sampleConfiguration } from './sample-configuration.js'

const STREAM = 'configuration'
const SHORT_RETENTION_MS = 800
const LONG_RETENTION_MS = 3_600_000
let log: MemoryLogService
let fleet: ConfigurationNode[]

beforeEach(() => {
  log = new MemoryLogService()
  fleet = []
})

afterEach(() => {
  for (const node of [...fleet]) node.stop()
})

function startNode (id: string, retentionMs: number, maximumPartBytes = 65_536): ConfigurationNode {
  return new ConfigurationNode({ id, logService: log, network: new LocalNetwork(), fleet, retentionMs, maximumPartBytes })
}

function checkpointParts (): number {
  const entries = log.records(STREAM).flatMap((record) => fromBinary(LogRecordSchema, record.data).entries)
  return entries.filter((entry) => entry.kind.case === 'checkpoint').length
}

test.each([['one part', 65_536, 1], ['many parts', 64, 3]])('restores the newest revision after all routers are replaced at once: checkpoint in %s', async (_name, partBytes, minimumParts) => {
  const first = startNode('first', SHORT_RETENTION_MS, partBytes)
  await eventually(() => first.configuration.proven)
  await first.setWorkspace('alpha')
  await first.setWorkspace('beta')
  const lastChange = log.records(STREAM).at(-1)?.offset ?? 0
  expect(await eventually(() => checkpointParts() >= minimumParts)).toBe(true)
  const written = log.records(STREAM).length
  await eventually(() => log.records(STREAM).length > written + minimumParts)
  first.stop()
  log.expireBefore(STREAM, lastChange + 1)
  const second = startNode('second', LONG_RETENTION_MS)
  expect(await eventually(() => second.revision === 2)).toBe(true)
  expect([...second.configuration.current()?.workspaces.keys() ?? []]).toEqual(['alpha', 'beta'])
})

test('only the primary writes checkpoints while it is live', async () => {
  const nodes = ['a', 'b', 'c'].map((id) => startNode(id, 8_000))
  await eventually(() => nodes.every((node) => node.configuration.proven))
  await nodes[0]?.setWorkspace('alpha')
  await eventually(() => checkpointParts() >= 3)
  const writers = log.records(STREAM).map((record) => fromBinary(LogRecordSchema, record.data))
    .filter((record) => record.entries.some((entry) => entry.kind.case === 'checkpoint'))
    .map((record) => record.writerId)
  expect(new Set(writers).size).toBe(1)
})

test('a live router writes a checkpoint after an outage longer than the retention time', async () => {
  const survivor = startNode('survivor', SHORT_RETENTION_MS)
  await eventually(() => survivor.configuration.proven)
  await survivor.setWorkspace('alpha')
  log.appendsDown = true
  log.readsDown = true
  log.expireBefore(STREAM, (log.records(STREAM).at(-1)?.offset ?? 0) + 1)
  const joiner = startNode('joiner', LONG_RETENTION_MS)
  expect(joiner.revision).toBe(-1)
  log.appendsDown = false
  log.readsDown = false
  expect(await eventually(() => joiner.revision === 1)).toBe(true)
})

test('a fleet that lost its state stays not ready until an operator submits the complete configuration', async () => {
  const lost = startNode('lost', LONG_RETENTION_MS)
  await eventually(() => lost.configuration.proven)
  await lost.setWorkspace('alpha')
  await lost.setWorkspace('beta')
  lost.stop()
  log.expireBefore(STREAM, 3)
  const nodes = ['a', 'b'].map((id) => startNode(id, LONG_RETENTION_MS))
  expect(await eventually(() => nodes.every((node) => node.replica.stateLost))).toBe(true)
  expect((await nodes[0]?.setWorkspace('gamma'))?.code).toBe(ResultCode.CONFIGURATION_NOT_LOADED)
  const responses = await Promise.all(nodes.map(async (node) => await node.recover(2, sampleConfiguration())))
  expect(responses.map((response) => response.code).sort()).toEqual([ResultCode.OK, ResultCode.REVISION_CONFLICT])
  expect(await eventually(() => nodes.every((node) => node.revision === 3))).toBe(true)
  expect((await nodes[1]?.setWorkspace('gamma'))?.revision).toBe(4n)
})
