import { hash } from './hash.js'
import { mixKey } from './mix-key.js'

/** Above this many wanted places a full sort is cheaper than insertion. */
const MAXIMUM_INSERTED = 16
/** Number of values that a mixed hash can take. */
const HASH_RANGE = 4_294_967_296
const HOPELESS_MARGIN = 16

/**
 * Order in which a key tries the members of a set: highest random weight first, where a member's chance to
 * come first is its share of the whole capacity. The order depends on names and capacities alone, so every
 * router has the same one, and a change of one member moves only the keys that had it first.
 *
 * A member's score is `-capacity / ln(u)` with `u` uniform in (0, 1) from key and name (weighted rendezvous
 * hashing: Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005). Names are hashed once,
 * at construction; a decision mixes 32 bit integers, and takes a logarithm only for members that may still
 * come among the first.
 *
 * @example
 * const order = new RendezvousOrder(endpoints)
 * const [first, second] = order.first(key, 2)
 */
export class RendezvousOrder<Member extends { readonly name: string, readonly capacity: number }> {
  private readonly _members: readonly Member[]
  private readonly _high: Int32Array
  private readonly _low: Int32Array
  private readonly _capacities: Float64Array
  /** Whether all capacities are equal: then the hash orders as the score does. */
  private readonly _uniform: boolean
  private readonly _largestCapacity: number

  /**
   * @param members the set, in any order; members without capacity are left out
   */
  constructor (members: readonly Member[]) {
    const usable = members.filter((member) => member.capacity > 0)
    this._members = usable.sort((left, right) => left.name < right.name ? -1 : 1)
    this._high = new Int32Array(usable.length)
    this._low = new Int32Array(usable.length)
    this._capacities = new Float64Array(usable.length)
    for (const [index, member] of usable.entries()) {
      const bits = hash.h64(member.name)
      this._high[index] = Number(BigInt.asIntN(32, bits >> 32n))
      this._low[index] = Number(BigInt.asIntN(32, bits))
      this._capacities[index] = member.capacity
    }
    this._largestCapacity = this._capacities.reduce((largest, capacity) => Math.max(largest, capacity), 0)
    this._uniform = this._capacities.every((capacity) => capacity === this._capacities[0])
  }

  /** Number of members. */
  get size (): number {
    return this._members.length
  }

  /** The members in the order of their names. */
  get members (): readonly Member[] {
    return this._members
  }

  /**
   * The first members of a key's order.
   * @param key affinity key, 16 hexadecimal digits
   * @param count how many members are wanted
   */
  first (key: string, count: number): Member[] {
    const wanted = Math.min(count, this._members.length)
    const order = wanted <= MAXIMUM_INSERTED ? this._select(key, wanted) : this._sort(key, wanted)
    return order.map((index) => this._members[index] as Member)
  }

  private _select (key: string, wanted: number): number[] {
    const order: number[] = []
    if (wanted === 0) return order
    const scores: number[] = []
    let hopeless = 0
    const keyHigh = parseInt(key.slice(0, 8), 16) | 0
    const keyLow = parseInt(key.slice(8, 16), 16) | 0
    for (let index = 0; index < this._members.length; index += 1) {
      const mixed = mixKey(keyHigh, keyLow, this._high[index] as number, this._low[index] as number)
      if (mixed < hopeless) continue
      const score = this._scoreOf(mixed, index)
      if (order.length === wanted && score <= (scores[wanted - 1] as number)) continue
      let place = order.length < wanted ? order.length : wanted - 1
      while (place > 0 && score > (scores[place - 1] as number)) {
        scores[place] = scores[place - 1] as number
        order[place] = order[place - 1] as number
        place -= 1
      }
      scores[place] = score
      order[place] = index
      if (order.length === wanted) hopeless = this._hopelessBelow(scores[wanted - 1] as number)
    }
    return order
  }

  private _sort (key: string, wanted: number): number[] {
    const keyHigh = parseInt(key.slice(0, 8), 16) | 0
    const keyLow = parseInt(key.slice(8, 16), 16) | 0
    const scores = Float64Array.from(this._members, (_, index) => this._score(keyHigh, keyLow, index))
    const order = Array.from(this._members, (_, index) => index)
    order.sort((left, right) => (scores[right] as number) - (scores[left] as number) || left - right)
    return order.slice(0, wanted)
  }

  private _score (keyHigh: number, keyLow: number, index: number): number {
    return this._scoreOf(mixKey(keyHigh, keyLow, this._high[index] as number, this._low[index] as number), index)
  }

  /** Mixed hash below which not even the largest member reaches a score; spares the others their logarithm. */
  private _hopelessBelow (score: number): number {
    if (this._uniform) return score
    // The margin is far above the rounding of the logarithm and costs nothing but a score.
    return Math.exp(-this._largestCapacity / score) * HASH_RANGE - HOPELESS_MARGIN
  }

  private _scoreOf (mixed: number, index: number): number {
    if (this._uniform) return mixed
    return -(this._capacities[index] as number) / Math.log((mixed + 0.5) / HASH_RANGE)
  }
}
