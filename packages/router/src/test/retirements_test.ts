import { create } from '@bufbuild/protobuf'
import { expect, test } from 'vitest'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Clock } from '@mimosarock/coordination/clock.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { DispatchResponse } from '../forward/dispatch-response.js'
import type { DispatchCall } from '../forward/dispatch-call.js'
import { ContextEvacuation } from '../retirement/context-evacuation.js'
import { CacheIndex } from '../contexts/cache-index.js'
import { Retirements } from '../retirement/retirements.js'
import { TrackedDispatch } from '../admission/tracked-dispatch.js'

/** Clock whose sleeps end immediately and advance the time. */
class AutoAdvancingClock implements Clock {
  time = 0

  now (): number {
    return this.time
  }

  wallNow (): number {
    return this.time
  }

  async sleep (ms: number): Promise<void> {
    this.time += ms
    await new Promise((resolve) => setImmediate(resolve))
  }
}

const endpoints = ['e0', 'e1', 'e2'].map((name, index) => ({ name, address: `10.0.0.${index}:80`, availabilityZone: 'a', capacity: 4 }))

function createConfiguration (exportContext: boolean): ConfigurationIndex {
  return new ConfigurationIndex(create(ConfigurationSchema, {
    pools: [{ name: 'chat', endpoints }],
    retirementRules: [{ name: 'rule', pool: 'chat', drainMs: 5_000, exportContext }],
    retirements: [{ pool: 'chat', endpoint: 'e0', reason: 'test' }]
  }), 1, 1)
}

/** Runs the retirement of e0 and returns each step with its time in whole seconds. */
async function retire (options: { beginsAt?: number, idleAt?: number, exportContext?: boolean, owner?: string, endsAt?: number }): Promise<string[]> {
  const clock = new AutoAdvancingClock()
  const steps: string[] = []
  const record = (step: string): void => { steps.push(`${Math.round(clock.time / 1_000)} s ${step}`) }
  const index = createConfiguration(options.exportContext ?? false)
  const retirements = new Retirements({
    configuration: { current: () => index, onChange: () => () => {} },
    owners: {
      ownerOf: () => ({ id: options.owner ?? 'self', availabilityZone: 'a', peerAddress: '', forwardAddress: '', leaving: false }),
      onChange: () => () => {}
    },
    selfId: () => 'self',
    steps: {
      mayBegin: () => clock.time >= (options.beginsAt ?? 0),
      inFlight: () => clock.time >= (options.idleAt ?? Infinity) ? 0 : 3,
      abortInFlight: () => record('end'),
      exportContext: async () => {
        record('export')
        return 1
      }
    },
    clock,
    eventLog: new SilentEventLog()
  })
  const controller = new AbortController()
  retirements.run(controller.signal)
  let lastState: string | undefined
  while (clock.time < (options.endsAt ?? 60_000)) {
    await new Promise((resolve) => setImmediate(resolve))
    const state = retirements.stateOf('chat', 'e0')
    if (state !== lastState) record(String(state))
    lastState = state
  }
  controller.abort()
  return steps
}

test.each([
  { rule: 'drains until idle', options: { idleAt: 2_000 } },
  { rule: 'aborts requests after the drain time', options: {} },
  { rule: 'waits until enough endpoints are live', options: { beginsAt: 9_000, idleAt: 9_000 } },
  { rule: 'exports contexts once it is drained', options: { idleAt: 2_000, exportContext: true } },
  { rule: 'is left to the owner of the endpoint', options: { owner: 'other' } }
])('a retirement $rule', async ({ options }) => {
  const steps = await retire(options)
  expect(steps.map((step) => step.replace(/^\d+ s /, ''))).toMatchSnapshot()
  const endedAt = Number(steps.find((step) => step.endsWith(' end'))?.split(' ')[0] ?? -1)
  const earliest = 'beginsAt' in options ? 9 : 'idleAt' in options ? 2 : 5
  expect(endedAt === -1 || endedAt >= earliest).toBe(true)
})

test('tracked calls are counted until their bodies end, and can be aborted', async () => {
  const call = { pool: 'chat', endpoint: 'e0' } as DispatchCall
  const body = async function * (): AsyncGenerator<Uint8Array> {
    for (let chunk = 0; chunk < 3; chunk += 1) yield new Uint8Array([chunk])
  }
  const tracked = new TrackedDispatch({
    dispatch: async (): Promise<DispatchResponse> => ({ status: 200, headers: {}, body: body(), endpoint: 'e0' }),
    cancel: async () => {}
  })
  const signal = new AbortController().signal
  const read = async (response: DispatchResponse): Promise<number> => {
    let chunks = 0
    for await (const chunk of response.body) chunks += chunk.length
    return chunks
  }
  const [first, second] = [await tracked.dispatch(call, signal), await tracked.dispatch(call, signal)]
  expect(tracked.inFlight('chat', 'e0')).toBe(2)
  expect(await read(first)).toBe(3)
  expect(tracked.inFlight('chat', 'e0')).toBe(1)
  tracked.abortInFlight('chat', 'e0')
  await expect(read(second)).rejects.toThrow('endpoint e0 is released')
  expect(tracked.inFlight('chat', 'e0')).toBe(0)
})

test('certain contexts are transferred to live endpoints, the most recently updated first; uncertain ones are not transferred', async () => {
  const index = createConfiguration(true)
  const cacheIndex = new CacheIndex(new AutoAdvancingClock(), 100)
  const stored = (sequence: number, key: string): { sequence: number, kind: 'stored', cache_key: string, tokens: number } =>
    ({ sequence, kind: 'stored', cache_key: key.padStart(16, '0'), tokens: 100 })
  cacheIndex.apply({ oldest: 1, newest: 1, events: [stored(1, 'd')] })
  cacheIndex.apply({ oldest: 1, newest: 4, events: [stored(3, 'a'), stored(4, 'b')] })
  const transfers: string[] = []
  const evacuation = new ContextEvacuation({
    configuration: { current: () => index, onChange: () => () => {} },
    isLive: (_, endpoint) => endpoint === 'e2',
    cacheOf: () => cacheIndex,
    contextTransfers: {
      transfer: async (affinityKey, tokens, source, target) => {
        transfers.push(`${affinityKey.slice(-1)} ${tokens} ${source} to ${target}`)
        return true
      }
    }
  })
  expect(await evacuation.evacuate('chat', 'e0', new AbortController().signal)).toBe(2)
  expect(transfers).toEqual(['b 100 10.0.0.0:80 to 10.0.0.2:80', 'a 100 10.0.0.0:80 to 10.0.0.2:80'])
})
