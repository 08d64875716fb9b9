import type { RouterIdentity } from '../router-identity.js'
import type { Membership } from '../membership.js'
import { hash32 } from '../membership/hash32.js'

/**
 * The routers that write a partition's stream, best first, by rendezvous over the live routers that do not
 * leave. Routers whose views differ choose different writers for some seconds; the log decides all the same.
 */
export class LedgerWriters {
  private readonly _membership: Membership
  private readonly _orders = new Map<number, readonly RouterIdentity[]>()

  /**
   * @param membership tells which routers are live
   */
  constructor (membership: Membership) {
    this._membership = membership
    membership.onChange(() => this._orders.clear())
  }

  /**
   * The routers in the partition's order.
   * @param partition number of the partition
   * @param count most routers to return
   */
  first (partition: number, count: number): readonly RouterIdentity[] {
    const known = this._orders.get(partition)
    if (known !== undefined) return known.slice(0, count)
    const order = this._order(partition)
    this._orders.set(partition, order)
    return order.slice(0, count)
  }

  /**
   * Whether this router is one of the first in a partition's order.
   * @param partition number of the partition
   * @param count how many count as first
   */
  isAmongFirst (partition: number, count: number): boolean {
    return this.first(partition, count).some((router) => this.isSelf(router))
  }

  /**
   * Whether a router is this one.
   * @param router one of the order
   */
  isSelf (router: RouterIdentity): boolean {
    return router.id === this._membership.self.id
  }

  private _order (partition: number): RouterIdentity[] {
    const staying = this._membership.live().filter((router) => !router.leaving)
    const scores = new Map(staying.map((router) => [router.id, hash32(`${partition}/${router.id}`)]))
    return staying.sort((left, right) =>
      (scores.get(right.id) ?? 0) - (scores.get(left.id) ?? 0) || (left.id < right.id ? -1 : 1))
  }
}
