import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Endpoints looked at beyond those wanted, in place of ones that take no new work. */
const SPARE_ENDPOINTS = 8

/** Keeps the rendezvous order of each pool for the configuration in force. */
export class PoolOrder {
  private readonly _isUsable: (pool: string, endpoint: string) => boolean
  private _index: ConfigurationIndex | undefined
  private _orders = new Map<string, RendezvousOrder<Endpoint>>()

  /**
   * @param isUsable whether an endpoint takes new work, as far as this router knows
   */
  constructor (isUsable: (pool: string, endpoint: string) => boolean) {
    this._isUsable = isUsable
  }

  /**
   * Whether any endpoint of a pool takes new work, as far as this router knows.
   * @param pool the pool
   */
  hasUsable (pool: Pool): boolean {
    return pool.endpoints.some((endpoint) => this._isUsable(pool.name, endpoint.name))
  }

  /**
   * First endpoints for a key, without those that take no new work. If none of the first ones does, they are given
   * all the same, since their owners may know better.
   * @param index the configuration in force
   * @param pool the pool
   * @param key affinity key in hexadecimal
   * @param count most endpoints wanted
   */
  first (index: ConfigurationIndex, pool: Pool, key: string, count: number): Endpoint[] {
    if (this._index !== index) {
      this._index = index
      this._orders = new Map()
    }
    let order = this._orders.get(pool.name)
    if (order === undefined) {
      order = new RendezvousOrder([...pool.endpoints])
      this._orders.set(pool.name, order)
    }
    const first = order.first(key, count + SPARE_ENDPOINTS)
    const usable = first.filter((endpoint) => this._isUsable(pool.name, endpoint.name))
    return (usable.length > 0 ? usable : first).slice(0, count)
  }
}
