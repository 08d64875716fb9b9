import { create } from '@bufbuild/protobuf'
import type { Actor, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { EngineOrder } from './engine-order.js'
import { EngineStateCache } from './engine-state-cache.js'
import type { OrderTaskOptions } from './order-task-options.js'
import { planOrders } from './plan-orders.js'
import type { PlannedEngine } from './planned-engine.js'

/**
 * Sends orders to the model engines of all pools while this router holds the lease.
 *
 * Each pass reads the states of the engines and sends an order to each engine whose state differs from the plan. Orders
 * are absolute and every pass starts from the state that the engines report. The next pass therefore corrects an order
 * whose response was lost, and an order of an earlier lease holder that an engine executed without checking its fencing
 * number. Pools without configured models get no orders.
 */
export class OrderTask {
  private readonly _options: OrderTaskOptions
  private readonly _states: EngineStateCache
  private readonly _actor: Actor

  /**
   * @param options lease, client, time limits and other dependencies
   */
  constructor (options: OrderTaskOptions) {
    this._options = options
    this._states = new EngineStateCache(options.client, options.clock, options.lostAfterMs)
    this._actor = create(ActorSchema, { name: `router/${options.routerId}` })
  }

  /**
   * Sends orders periodically until the signal aborts. Ends only between two passes, so that the lease may be released
   * afterwards.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._options.lease.current() !== undefined) await this._pass()
      await this._options.clock.sleep(this._options.passIntervalMs, signal)
    }
  }

  private async _pass (): Promise<void> {
    const pools = (this._options.configuration.current()?.configuration.pools ?? [])
      .filter((pool) => pool.kind === PoolKind.MODEL && pool.models.length > 0)
    const engines = await Promise.all(pools.map(async (pool) => await this._readPool(pool)))
    const loading = engines.flat().reduce((sum, engine) => sum + engine.state.loading.length, 0)
    let loadsAllowed = Math.max(0, this._options.maximumLoads - loading)
    for (const [index, pool] of pools.entries()) {
      const orders = planOrders(pool.models, engines[index] ?? [], loadsAllowed)
      loadsAllowed -= orders.reduce((sum, order) => sum + order.loads.length, 0)
      for (const order of orders) {
        if (!await this._sendOrder(pool, order, engines[index] ?? [])) return
      }
    }
  }

  private async _readPool (pool: Pool): Promise<PlannedEngine[]> {
    const usable = pool.endpoints.filter((endpoint) => this._options.isUsable(pool.name, endpoint.name))
    return await this._states.read(usable, this._options.callTimeoutMs)
  }

  /** Sends one order. Returns whether the pass may continue. */
  private async _sendOrder (pool: Pool, order: EngineOrder, engines: readonly PlannedEngine[]): Promise<boolean> {
    const { lease, clock, client, callTimeoutMs, eventLog } = this._options
    // Read immediately before the order is sent, since the process may have been paused after the pass began.
    const currentLease = lease.current()
    if (currentLease === undefined) return false
    let code: ResultCode = ResultCode.OK
    try {
      await client.order(order, currentLease.fencingNumber, Math.min(callTimeoutMs, currentLease.stopsAt - clock.now()))
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      code = error.code
      eventLog.warn('order-failed', { pool: pool.name, endpoint: order.endpoint, code })
    }
    this._audit(pool, order, engines, code, currentLease.fencingNumber)
    if (code !== ResultCode.ORDER_REFUSED) return true
    lease.resign()
    return false
  }

  private _audit (pool: Pool, order: EngineOrder, engines: readonly PlannedEngine[], code: ResultCode, fencingNumber: number): void {
    const state = engines.find((engine) => engine.endpoint === order.endpoint)?.state
    const before = [...state?.loaded ?? [], ...state?.loading ?? []].sort()
    this._options.auditTrail.record({
      actor: this._actor,
      action: 'order.load',
      subject: `endpoint/${pool.name}/${order.endpoint}`,
      before: `${before.join(',')} role=${state?.role ?? ''}`,
      after: `${order.models.join(',')} role=${order.role} fencing_number=${fencingNumber}`,
      code
    })
  }
}
