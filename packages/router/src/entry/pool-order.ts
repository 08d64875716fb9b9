import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Number of endpoints ranked beyond the requested count, as replacements for those that accept no new calls. */
const SPARE_ENDPOINTS = 8

/** Ranks the endpoints of each pool by rendezvous hashing; caches the ranking of the configuration in force. */
export class PoolOrder {
  private readonly _isUsable: (pool: string, endpoint: string) => boolean
  private _index: ConfigurationIndex | undefined
  private _orders = new Map<string, RendezvousOrder<Endpoint>>()

  /**
   * @param isUsable returns whether an endpoint accepts new calls, according to this router's possibly stale state
   */
  constructor (isUsable: (pool: string, endpoint: string) => boolean) {
    this._isUsable = isUsable
  }

  /**
   * Returns whether any endpoint of a pool accepts new calls, according to this router's possibly stale state.
   * @param pool configuration of the pool
   */
  hasUsable (pool: Pool): boolean {
    return pool.endpoints.some((endpoint) => this._isUsable(pool.name, endpoint.name))
  }

  /**
   * Returns the first endpoints in the order of a key, without those that accept no new calls. If none of them accepts
   * calls, they are returned unfiltered, since their owners may have newer state.
   * @param index the configuration in force
   * @param pool configuration of the pool
   * @param key affinity key in hexadecimal
   * @param count maximum number of endpoints returned
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
