import xxhash from 'xxhash-wasm'

const api = await xxhash()

/**
 * Returns the XXH32 hash of a string. The result is the same on every router.
 * @param text the string to hash, encoded as UTF-8
 * @param seed selects one of many independent hash functions
 * @returns an integer from 0 to 2^32 - 1
 */
export function hash32 (text: string, seed = 0): number {
  return api.h32(text, seed)
}
