import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Pseudorandom number generator; equal seeds give equal sequences. */
export class SeededRandom {
  private readonly _generator: RandomGenerator

  /**
   * @param seed integer
   */
  constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  /** Returns the next number, from 0 (inclusive) to 1 (exclusive). */
  next (): number {
    return (this._generator.next() >>> 0) / 0x1_0000_0000
  }

  /**
   * Returns the next integer, from 0 (inclusive) to a bound (exclusive).
   * @param bound positive integer
   */
  below (bound: number): number {
    return Math.floor(this.next() * bound)
  }
}
