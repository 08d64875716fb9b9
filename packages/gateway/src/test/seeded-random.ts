/**
 * Creates a deterministic random number generator (Park and Miller, 1988) that returns numbers from 0 (inclusive) to 1 (exclusive).
 * @param seed an integer greater than 0; the same seed yields the same sequence
 */
export function seededRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = state * 48_271 % 2_147_483_647
    return state / 2_147_483_647
  }
}
