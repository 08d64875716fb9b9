import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Keeps the rendezvous order of each pool for the configuration in force. */
export class PoolOrder {
  private _index: ConfigurationIndex | undefined
  private _orders = new Map<string, RendezvousOrder<Endpoint>>()

  /**
   * First endpoints for a key; endpoints that an operator retires are left out.
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
      order = new RendezvousOrder(pool.endpoints.filter((endpoint) => !index.isRetired(pool.name, endpoint.name)))
      this._orders.set(pool.name, order)
    }
    return order.first(key, count)
  }
}
