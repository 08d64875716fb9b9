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
const abortControllers: AbortController[] = []

afterEach(async () => {
  for (const controller of abortControllers.splice(0)) controller.abort()
  for (const engine of engines.splice(0)) await engine.stop()
})

interface GeneratedEngine {
  readonly loaded: readonly string[]
  readonly loading?: readonly string[]
  readonly reachable: boolean
}

function plannedEngines (generated: readonly GeneratedEngine[]): PlannedEngine[] {
  return generated.map(({ loaded, loading = [], reachable }, index) => ({
    endpoint: `engine-${index}`, address: `address-${index}`, role: '', reachable, state: { loaded, loading: loading.filter((model) => !loaded.includes(model)), adapters: [], role: 'mixed' }
  }))
}

describe('planOrders', () => {
  const engineArbitrary = fc.record({ loaded: fc.subarray([...MODELS, 'old']), loading: fc.subarray(MODELS), reachable: fc.boolean() })
  const modelsArbitrary = fc.tuple(fc.nat(4), fc.nat(4), fc.nat(4)).map((replicas) =>
    replicas.map((count, index) => create(ModelPlacementSchema, { model: MODELS[index], replicas: count })))

  test('never removes a model that too few engines have, and starts no more loads than allowed', () => {
    fc.assert(fc.property(fc.array(engineArbitrary, { maxLength: 6 }), modelsArbitrary, fc.nat(5), (generated, models, loadsAllowed) => {
      const before = plannedEngines(generated)
      const orders = new Map(planOrders(models, before, loadsAllowed).map((order) => [order.endpoint, order]))
      expect([...orders.values()].flatMap((order) => order.loads).length).toBeLessThanOrEqual(loadsAllowed)
      for (const { model, replicas } of models) {
        const wanted = replicas === 0 ? before.length : Math.min(replicas, before.length)
        const loadedBefore = before.filter((engine) => engine.state.loaded.includes(model)).length
        const retained = before.filter((engine) => engine.state.loaded.includes(model) && (orders.get(engine.endpoint)?.models.includes(model) ?? true)).length
        expect(retained).toBeGreaterThanOrEqual(Math.min(loadedBefore, wanted))
        const canceledLoads = before.filter((engine) => engine.state.loading.includes(model) && !(orders.get(engine.endpoint)?.models.includes(model) ?? true))
        if (loadedBefore < wanted) expect(canceledLoads).toEqual([])
      }
    }), { seed: SEED, numRuns: 300 })
  })

  test('brings reachable engines to a state in which no more orders are planned', () => {
    fc.assert(fc.property(fc.array(engineArbitrary.map((engine) => ({ ...engine, loading: [], reachable: true })), { minLength: 1, maxLength: 6 }), modelsArbitrary, (generated, models) => {
      let currentEngines = plannedEngines(generated)
      for (let pass = 0; pass < 30; pass += 1) {
        const orders = planOrders(models, currentEngines, 1)
        if (orders.length === 0) break
        currentEngines = currentEngines.map((engine) => {
          const order = orders.find((candidate) => candidate.endpoint === engine.endpoint)
          return order === undefined ? engine : { ...engine, state: { ...engine.state, loaded: order.models } }
        })
      }
      expect(planOrders(models, currentEngines, 1)).toEqual([])
      for (const { model, replicas } of models) {
        const wanted = replicas === 0 ? currentEngines.length : Math.min(replicas, currentEngines.length)
        expect(currentEngines.filter((engine) => engine.state.loaded.includes(model))).toHaveLength(wanted)
      }
    }), { seed: SEED, numRuns: 300 })
  })
})

interface TaskState {
  readonly audited: string[]
  /** Number of times that the task read the lease. */
  leaseReads: number
  /** Number of reads that return the lease; unlimited if undefined. */
  readonly grantedReads?: number
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

function startTask (started: readonly ModelEngineStandIn[], models: ReadonlyArray<{ model: string, replicas: number }>, taskState: TaskState): void {
  const clock = new JumpingClock()
  const endpoints = started.map((engine, index) => ({ name: `engine-${index}`, address: engine.address }))
  const configuration = new ConfigurationIndex(create(ConfigurationSchema, { pools: [{ name: 'chat', kind: PoolKind.MODEL, endpoints, models: [...models] }] }), 1, 1)
  const task = new OrderTask({
    lease: {
      current: () => {
        taskState.leaseReads += 1
        return taskState.leaseReads > (taskState.grantedReads ?? Infinity) ? undefined : taskState.lease
      },
      resign: () => { taskState.lease = undefined }
    },
    configuration: { current: () => configuration, onChange: () => () => {} },
    client: new HttpEngineOrderClient(),
    auditTrail: { record: (entry) => taskState.audited.push(`${entry.subject} ${entry.code}`) },
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
  abortControllers.push(controller)
  task.run(controller.signal).catch(() => {})
}

const loadedCount = (started: readonly ModelEngineStandIn[], model: string): number => started.filter((engine) => engine.orders.loadedModels.includes(model)).length

describe('OrderTask', () => {
  test('loads each model on enough engines, and on other engines after one is lost', async () => {
    const started = await startEngines(true)
    const taskState: TaskState = { audited: [], leaseReads: 0, lease: { fencingNumber: 5, stopsAt: Infinity } }
    startTask(started, [{ model: 'large', replicas: 1 }, { model: 'small', replicas: 2 }], taskState)
    await vi.waitFor(() => expect([loadedCount(started, 'large'), loadedCount(started, 'small')]).toEqual([1, 2]), { timeout: 5_000 })
    const lost = started.find((engine) => engine.orders.loadedModels.includes('large')) as ModelEngineStandIn
    await lost.stop()
    const remaining = started.filter((engine) => engine !== lost)
    await vi.waitFor(() => expect([loadedCount(remaining, 'large'), loadedCount(remaining, 'small')]).toEqual([1, 2]), { timeout: 5_000 })
    expect(taskState.audited.every((entry) => entry.startsWith('endpoint/chat/engine-'))).toBe(true)
  })

  test('resigns when an engine that checks fencing numbers has seen a higher one', async () => {
    const started = await startEngines(true)
    started[0]?.orders.apply({ fencing_number: 9, models: ['other'] })
    const taskState: TaskState = { audited: [], leaseReads: 0, lease: { fencingNumber: 5, stopsAt: Infinity } }
    startTask(started.slice(0, 1), [{ model: 'large', replicas: 1 }], taskState)
    await vi.waitFor(() => expect(taskState.lease).toBeUndefined())
    expect(started[0]?.orders.loadedModels).toEqual(['other'])
    expect(taskState.audited).toEqual(['endpoint/chat/engine-0 8002'])
  })

  test('corrects an outdated order that an engine executed without checking its fencing number', async () => {
    const started = await startEngines(false)
    const taskState: TaskState = { audited: [], leaseReads: 0, lease: { fencingNumber: 9, stopsAt: Infinity } }
    startTask(started, [{ model: 'large', replicas: 0 }], taskState)
    await vi.waitFor(() => expect(loadedCount(started, 'large')).toBe(3), { timeout: 5_000 })
    started[1]?.orders.apply({ fencing_number: 5, models: ['old'] })
    await vi.waitFor(() => expect(loadedCount(started, 'large')).toBe(3), { timeout: 5_000 })
    expect(loadedCount(started, 'old')).toBe(0)
  })

  test('confirms an order whose response was lost by reading the state of the engine', async () => {
    const started = await startEngines(true)
    for (const engine of started) engine.faults.lostOrderAnswers = true
    const taskState: TaskState = { audited: [], leaseReads: 0, lease: { fencingNumber: 5, stopsAt: Infinity } }
    startTask(started, [{ model: 'large', replicas: 1 }], taskState)
    await vi.waitFor(() => expect(taskState.audited).toEqual(['endpoint/chat/engine-0 8003']))
    await vi.waitFor(() => expect(loadedCount(started, 'large')).toBe(1))
  })

  test.each([0, 1])('sends no order when the lease is lost after it was read %i times', async (grantedReads) => {
    const started = await startEngines(true)
    const taskState: TaskState = { audited: [], leaseReads: 0, grantedReads, lease: { fencingNumber: 5, stopsAt: Infinity } }
    startTask(started, [{ model: 'large', replicas: 1 }], taskState)
    await vi.waitFor(() => expect(taskState.leaseReads).toBeGreaterThan(3))
    expect(taskState.audited).toEqual([])
    expect(loadedCount(started, 'large')).toBe(0)
  })
})
