import type { RouterIdentity } from '../router-identity.js'
import type { Membership } from '../membership.js'
import { hash32 } from '../membership/hash32.js'

/**
 * Order of the routers that write the stream of a partition, primary first, by rendezvous hashing over the live
 * routers that are not leaving. Routers whose membership views differ may choose different writers for some
 * seconds, which is safe: the order of the records in the log decides.
 */
export class LedgerWriters {
  private readonly _membership: Membership
  private readonly _orders = new Map<number, readonly RouterIdentity[]>()

  /**
   * @param membership source of the live routers
   */
  constructor (membership: Membership) {
    this._membership = membership
    membership.onChange(() => this._orders.clear())
  }

  /**
   * Returns the first routers in the rendezvous order of a partition.
   * @param partition index of the partition
   * @param count maximum number of routers to return
   */
  first (partition: number, count: number): readonly RouterIdentity[] {
    const known = this._orders.get(partition)
    if (known !== undefined) return known.slice(0, count)
    const order = this._computeOrder(partition)
    this._orders.set(partition, order)
    return order.slice(0, count)
  }

  /**
   * Returns whether this router is among the first in the rendezvous order of a partition.
   * @param partition index of the partition
   * @param count number of routers to consider
   */
  isAmongFirst (partition: number, count: number): boolean {
    return this.first(partition, count).some((router) => this.isSelf(router))
  }

  /**
   * Returns whether a router is this one.
   * @param router router to compare
   */
  isSelf (router: RouterIdentity): boolean {
    return router.id === this._membership.self.id
  }

  private _computeOrder (partition: number): RouterIdentity[] {
    const candidates = this._membership.live().filter((router) => !router.leaving)
    const scores = new Map(candidates.map((router) => [router.id, hash32(`${partition}/${router.id}`)]))
    return candidates.sort((left, right) =>
      (scores.get(right.id) ?? 0) - (scores.get(left.id) ?? 0) || (left.id < right.id ? -1 : 1))
  }
}
