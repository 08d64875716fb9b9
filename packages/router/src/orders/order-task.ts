import { create } from '@bufbuild/protobuf'
import type { Actor, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { EngineOrder } from './engine-order.js'
import { KnownEngineStates } from './known-engine-states.js'
import type { OrderTaskOptions } from './order-task-options.js'
import { planOrders } from './plan-orders.js'
import type { PlannedEngine } from './planned-engine.js'

/**
 * Gives orders to the model engines of all pools while this router holds the lease.
 *
 * Each pass reads the engines' states back and orders what differs. Orders are absolute, so that one whose
 * answer was lost, or one of an earlier holder that an engine took without checking its fencing number, is
 * corrected by the next pass. Pools without configured models are left alone.
 */
export class OrderTask {
  private readonly _options: OrderTaskOptions
  private readonly _states: KnownEngineStates
  private readonly _actor: Actor

  /**
   * @param options what the task works with
   */
  constructor (options: OrderTaskOptions) {
    this._options = options
    this._states = new KnownEngineStates(options.client, options.clock, options.lostAfterMs)
    this._actor = create(ActorSchema, { name: `router/${options.routerId}` })
  }

  /**
   * Gives orders until the signal aborts. Ends only between passes, so that the lease may be released after it.
   * @param signal ends the task
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
    let allowed = Math.max(0, this._options.maximumLoads - loading)
    for (const [index, pool] of pools.entries()) {
      const orders = planOrders(pool.models, engines[index] ?? [], allowed)
      allowed -= orders.reduce((sum, order) => sum + order.loads.length, 0)
      for (const order of orders) {
        if (!await this._give(pool, order, engines[index] ?? [])) return
      }
    }
  }

  private async _readPool (pool: Pool): Promise<PlannedEngine[]> {
    const usable = pool.endpoints.filter((endpoint) => this._options.isUsable(pool.name, endpoint.name))
    return await this._states.read(usable, this._options.callTimeoutMs)
  }

  /** Gives one order and tells whether the pass may go on. */
  private async _give (pool: Pool, order: EngineOrder, engines: readonly PlannedEngine[]): Promise<boolean> {
    const { lease, clock, client, callTimeoutMs, eventLog } = this._options
    // Asked right before the order: the process may have been paused since the pass began.
    const held = lease.current()
    if (held === undefined) return false
    let code: ResultCode = ResultCode.OK
    try {
      await client.order(order, held.fencingNumber, Math.min(callTimeoutMs, held.stopsAt - clock.now()))
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      code = error.code
      eventLog.warn('order-failed', { pool: pool.name, endpoint: order.endpoint, code })
    }
    this._audit(pool, order, engines, code, held.fencingNumber)
    if (code !== ResultCode.ORDER_REFUSED) return true
    lease.resign()
    return false
  }

  private _audit (pool: Pool, order: EngineOrder, engines: readonly PlannedEngine[], code: ResultCode, fencingNumber: number): void {
    const state = engines.find((engine) => engine.endpoint === order.endpoint)?.state
    const before = [...state?.loaded ?? [], ...state?.loading ?? []].sort()
    this._options.auditTrail.note({
      actor: this._actor,
      action: 'order.load',
      subject: `endpoint/${pool.name}/${order.endpoint}`,
      before: `${before.join(',')} role=${state?.role ?? ''}`,
      after: `${order.models.join(',')} role=${order.role} fencing_number=${fencingNumber}`,
      code
    })
  }
}
