import { hash } from './hash.js'
import { mixKey } from './mix-key.js'

/** Maximum number of requested members for which insertion is cheaper than a full sort. */
const MAXIMUM_INSERTION_COUNT = 16
/** Number of distinct values of a 32-bit hash. */
const HASH_RANGE = 4_294_967_296
/** Safety margin below the exact hash threshold, in hash values; far above the rounding error of the logarithm. */
const HASH_MARGIN = 16

/**
 * Weighted rendezvous hashing (highest random weight): computes for each key an order of preference over a set of
 * members, where the probability that a member ranks first is its share of the total capacity. The order depends
 * only on names and capacities, which makes it identical on every router. Changing one member moves only the keys
 * that rank it first before or after the change.
 *
 * The score of a member is `-capacity / ln(u)`, where `u` is uniform in (0, 1) and derived from key and name
 * (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005). Names are hashed once, at construction;
 * a lookup mixes 32-bit integers and computes a logarithm only for members that can still rank among the first.
 *
 * @example
 * const order = new RendezvousOrder(endpoints)
 * const [first, second] = order.first(key, 2)
 */
export class RendezvousOrder<Member extends { readonly name: string, readonly capacity: number }> {
  private readonly _members: readonly Member[]
  private readonly _nameHigh: Int32Array
  private readonly _nameLow: Int32Array
  private readonly _capacities: Float64Array
  /** Whether all capacities are equal; hashes then have the same order as scores. */
  private readonly _hasUniformCapacities: boolean
  private readonly _maximumCapacity: number

  /**
   * @param members set of members with unique names, in any order; members without capacity are ignored
   */
  constructor (members: readonly Member[]) {
    const usable = members.filter((member) => member.capacity > 0)
    this._members = usable.sort((left, right) => left.name < right.name ? -1 : 1)
    this._nameHigh = new Int32Array(usable.length)
    this._nameLow = new Int32Array(usable.length)
    this._capacities = new Float64Array(usable.length)
    for (const [index, member] of usable.entries()) {
      const bits = hash.h64(member.name)
      this._nameHigh[index] = Number(BigInt.asIntN(32, bits >> 32n))
      this._nameLow[index] = Number(BigInt.asIntN(32, bits))
      this._capacities[index] = member.capacity
    }
    this._maximumCapacity = this._capacities.reduce((largest, capacity) => Math.max(largest, capacity), 0)
    this._hasUniformCapacities = this._capacities.every((capacity) => capacity === this._capacities[0])
  }

  /** Number of members with capacity. */
  get size (): number {
    return this._members.length
  }

  /** Members with capacity, sorted by name. */
  get members (): readonly Member[] {
    return this._members
  }

  /**
   * Returns the members that rank first for a key, in descending order of score.
   * @param key affinity key, 16 hexadecimal digits
   * @param count maximum number of members to return
   */
  first (key: string, count: number): Member[] {
    const wanted = Math.min(count, this._members.length)
    const order = wanted <= MAXIMUM_INSERTION_COUNT ? this._selectByInsertion(key, wanted) : this._selectBySorting(key, wanted)
    return order.map((index) => this._members[index] as Member)
  }

  private _selectByInsertion (key: string, wanted: number): number[] {
    const order: number[] = []
    if (wanted === 0) return order
    const scores: number[] = []
    let minimumHash = 0
    const keyHigh = parseInt(key.slice(0, 8), 16) | 0
    const keyLow = parseInt(key.slice(8, 16), 16) | 0
    for (let index = 0; index < this._members.length; index += 1) {
      const mixed = mixKey(keyHigh, keyLow, this._nameHigh[index] as number, this._nameLow[index] as number)
      if (mixed < minimumHash) continue
      const score = this._scoreOf(mixed, index)
      if (order.length === wanted && score <= (scores[wanted - 1] as number)) continue
      let position = order.length < wanted ? order.length : wanted - 1
      while (position > 0 && score > (scores[position - 1] as number)) {
        scores[position] = scores[position - 1] as number
        order[position] = order[position - 1] as number
        position -= 1
      }
      scores[position] = score
      order[position] = index
      if (order.length === wanted) minimumHash = this._minimumHashFor(scores[wanted - 1] as number)
    }
    return order
  }

  private _selectBySorting (key: string, wanted: number): number[] {
    const keyHigh = parseInt(key.slice(0, 8), 16) | 0
    const keyLow = parseInt(key.slice(8, 16), 16) | 0
    const scores = Float64Array.from(this._members, (_, index) => this._score(keyHigh, keyLow, index))
    const order = Array.from(this._members, (_, index) => index)
    order.sort((left, right) => (scores[right] as number) - (scores[left] as number) || left - right)
    return order.slice(0, wanted)
  }

  private _score (keyHigh: number, keyLow: number, index: number): number {
    return this._scoreOf(mixKey(keyHigh, keyLow, this._nameHigh[index] as number, this._nameLow[index] as number), index)
  }

  /**
   * Returns a hash threshold for a score: below it not even the member with the maximum capacity reaches the score,
   * which makes computing the logarithm unnecessary.
   */
  private _minimumHashFor (score: number): number {
    if (this._hasUniformCapacities) return score
    // The margin is far above the rounding error of the logarithm and causes at most an unnecessary score computation.
    return Math.exp(-this._maximumCapacity / score) * HASH_RANGE - HASH_MARGIN
  }

  private _scoreOf (mixed: number, index: number): number {
    if (this._hasUniformCapacities) return mixed
    return -(this._capacities[index] as number) / Math.log((mixed + 0.5) / HASH_RANGE)
  }
}
