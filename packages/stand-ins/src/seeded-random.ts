import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Random numbers that repeat with their seed. */
export class SeededRandom {
  private readonly _generator: RandomGenerator

  /**
   * @param seed whole number
   */
  constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  /** A number from 0 up to, but not including, 1. */
  next (): number {
    return (this._generator.next() >>> 0) / 0x1_0000_0000
  }

  /**
   * A whole number from 0 up to, but not including, a bound.
   * @param bound positive whole number
   */
  below (bound: number): number {
    return Math.floor(this.next() * bound)
  }
}
