import { create } from '@bufbuild/protobuf'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { HeldLease } from '@mimosarock/coordination/leases/held-lease.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationSchema, ModelPlacementSchema, PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import fc from 'fast-check'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { JumpingClock } from '../../../coordination/src/test/jumping-clock.js'
import { ModelEngineStandIn } from '../../../stand-ins/src/model-engine-stand-in.js'
import { HttpEngineOrderClient } from '../orders/http-engine-order-client.js'
import { OrderTask } from '../orders/order-task.js'
import { planOrders } from '../orders/plan-orders.js'
import type { PlannedEngine } from '../orders/planned-engine.js'

const SEED = 90_210
const MODELS = ['large', 'small', 'tiny']
const engines: ModelEngineStandIn[] = []
const ended: AbortController[] = []

afterEach(async () => {
  for (const controller of ended.splice(0)) controller.abort()
  for (const engine of engines.splice(0)) await engine.stop()
})

interface Drawn {
  readonly loaded: readonly string[]
  readonly loading?: readonly string[]
  readonly reachable: boolean
}

function planned (drawn: readonly Drawn[]): PlannedEngine[] {
  return drawn.map(({ loaded, loading = [], reachable }, index) => ({
    endpoint: `engine-${index}`, address: `address-${index}`, role: '', reachable, state: { loaded, loading: loading.filter((model) => !loaded.includes(model)), adapters: [], role: 'mixed' }
  }))
}

describe('planOrders', () => {
  const drawnEngine = fc.record({ loaded: fc.subarray([...MODELS, 'old']), loading: fc.subarray(MODELS), reachable: fc.boolean() })
  const drawnModels = fc.tuple(fc.nat(4), fc.nat(4), fc.nat(4)).map((replicas) =>
    replicas.map((count, index) => create(ModelPlacementSchema, { model: MODELS[index], replicas: count })))

  test('never takes away a model that too few engines have, and keeps to the loads allowed', () => {
    fc.assert(fc.property(fc.array(drawnEngine, { maxLength: 6 }), drawnModels, fc.nat(5), (drawn, models, allowed) => {
      const before = planned(drawn)
      const orders = new Map(planOrders(models, before, allowed).map((order) => [order.endpoint, order]))
      expect([...orders.values()].flatMap((order) => order.loads).length).toBeLessThanOrEqual(allowed)
      for (const { model, replicas } of models) {
        const wanted = replicas === 0 ? before.length : Math.min(replicas, before.length)
        const had = before.filter((engine) => engine.state.loaded.includes(model)).length
        const keeps = before.filter((engine) => engine.state.loaded.includes(model) && (orders.get(engine.endpoint)?.models.includes(model) ?? true)).length
        expect(keeps).toBeGreaterThanOrEqual(Math.min(had, wanted))
        const stopped = before.filter((engine) => engine.state.loading.includes(model) && !(orders.get(engine.endpoint)?.models.includes(model) ?? true))
        if (had < wanted) expect(stopped).toEqual([])
      }
    }), { seed: SEED, numRuns: 300 })
  })

  test('brings reachable engines to a state that needs no more orders', () => {
    fc.assert(fc.property(fc.array(drawnEngine.map((engine) => ({ ...engine, loading: [], reachable: true })), { minLength: 1, maxLength: 6 }), drawnModels, (drawn, models) => {
      let now = planned(drawn)
      for (let pass = 0; pass < 30; pass += 1) {
        const orders = planOrders(models, now, 1)
        if (orders.length === 0) break
        now = now.map((engine) => {
          const order = orders.find((candidate) => candidate.endpoint === engine.endpoint)
          return order === undefined ? engine : { ...engine, state: { ...engine.state, loaded: order.models } }
        })
      }
      expect(planOrders(models, now, 1)).toEqual([])
      for (const { model, replicas } of models) {
        const wanted = replicas === 0 ? now.length : Math.min(replicas, now.length)
        expect(now.filter((engine) => engine.state.loaded.includes(model))).toHaveLength(wanted)
      }
    }), { seed: SEED, numRuns: 300 })
  })
})

interface Running {
  readonly audited: string[]
  /** How often the lease was asked for. */
  asked: number
  /** How often it is given; always, if left out. */
  readonly given?: number
  lease: HeldLease | undefined
}

async function startEngines (checksFencing: boolean): Promise<ModelEngineStandIn[]> {
  const started = [0, 1, 2].map(() => new ModelEngineStandIn({ models: [], checksFencing }))
  for (const engine of started) {
    await engine.start()
    engines.push(engine)
  }
  return started
}

function startTask (started: readonly ModelEngineStandIn[], models: ReadonlyArray<{ model: string, replicas: number }>, running: Running): void {
  const clock = new JumpingClock()
  const endpoints = started.map((engine, index) => ({ name: `engine-${index}`, address: engine.address }))
  const configuration = new ConfigurationIndex(create(ConfigurationSchema, { pools: [{ name: 'chat', kind: PoolKind.MODEL, endpoints, models: [...models] }] }), 1, 1)
  const task = new OrderTask({
    lease: {
      current: () => {
        running.asked += 1
        return running.asked > (running.given ?? Infinity) ? undefined : running.lease
      },
      resign: () => { running.lease = undefined }
    },
    configuration: { current: () => configuration, onChange: () => () => {} },
    client: new HttpEngineOrderClient(),
    auditTrail: { note: (entry) => running.audited.push(`${entry.subject} ${entry.code}`) },
    clock,
    eventLog: new SilentEventLog(),
    routerId: 'router-0',
    isUsable: () => true,
    passIntervalMs: 5,
    callTimeoutMs: 500,
    lostAfterMs: 50,
    maximumLoads: 2
  })
  const controller = new AbortController()
  ended.push(controller)
  task.run(controller.signal).catch(() => {})
}

const holders = (started: readonly ModelEngineStandIn[], model: string): number => started.filter((engine) => engine.orders.loadedModels.includes(model)).length

describe('OrderTask', () => {
  test('loads each model on enough engines, and elsewhere after an engine is lost', async () => {
    const started = await startEngines(true)
    const running: Running = { audited: [], asked: 0, lease: { fencingNumber: 5, stopsAt: Infinity } }
    startTask(started, [{ model: 'large', replicas: 1 }, { model: 'small', replicas: 2 }], running)
    await vi.waitFor(() => expect([holders(started, 'large'), holders(started, 'small')]).toEqual([1, 2]), { timeout: 5_000 })
    const lost = started.find((engine) => engine.orders.loadedModels.includes('large')) as ModelEngineStandIn
    await lost.stop()
    const rest = started.filter((engine) => engine !== lost)
    await vi.waitFor(() => expect([holders(rest, 'large'), holders(rest, 'small')]).toEqual([1, 2]), { timeout: 5_000 })
    expect(running.audited.every((entry) => entry.startsWith('endpoint/chat/engine-'))).toBe(true)
  })

  test('resigns when an engine that checks has seen a higher fencing number', async () => {
    const started = await startEngines(true)
    started[0]?.orders.take({ fencing_number: 9, models: ['other'] })
    const running: Running = { audited: [], asked: 0, lease: { fencingNumber: 5, stopsAt: Infinity } }
    startTask(started.slice(0, 1), [{ model: 'large', replicas: 1 }], running)
    await vi.waitFor(() => expect(running.lease).toBeUndefined())
    expect(started[0]?.orders.loadedModels).toEqual(['other'])
    expect(running.audited).toEqual(['endpoint/chat/engine-0 8002'])
  })

  test('corrects an old order that an engine took without checking', async () => {
    const started = await startEngines(false)
    const running: Running = { audited: [], asked: 0, lease: { fencingNumber: 9, stopsAt: Infinity } }
    startTask(started, [{ model: 'large', replicas: 0 }], running)
    await vi.waitFor(() => expect(holders(started, 'large')).toBe(3), { timeout: 5_000 })
    started[1]?.orders.take({ fencing_number: 5, models: ['old'] })
    await vi.waitFor(() => expect(holders(started, 'large')).toBe(3), { timeout: 5_000 })
    expect(holders(started, 'old')).toBe(0)
  })

  test('confirms by reading back an order whose answer was lost', async () => {
    const started = await startEngines(true)
    for (const engine of started) engine.faults.lostOrderAnswers = true
    const running: Running = { audited: [], asked: 0, lease: { fencingNumber: 5, stopsAt: Infinity } }
    startTask(started, [{ model: 'large', replicas: 1 }], running)
    await vi.waitFor(() => expect(running.audited).toEqual(['endpoint/chat/engine-0 8003']))
    await vi.waitFor(() => expect(holders(started, 'large')).toBe(1))
  })

  test.each([0, 1])('gives no order when the lease is lost after it was seen %i times', async (given) => {
    const started = await startEngines(true)
    const running: Running = { audited: [], asked: 0, given, lease: { fencingNumber: 5, stopsAt: Infinity } }
    startTask(started, [{ model: 'large', replicas: 1 }], running)
    await vi.waitFor(() => expect(running.asked).toBeGreaterThan(3))
    expect(running.audited).toEqual([])
    expect(holders(started, 'large')).toBe(0)
  })
})
