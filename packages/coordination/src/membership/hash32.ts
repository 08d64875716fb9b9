import xxhash from 'xxhash-wasm'

const api = await xxhash()

/**
 * Hashes a text by XXH32, the same on every router.
 * @param text what to hash
 * @param seed picks one of many independent hash functions
 * @returns 0 to 2^32 - 1
 */
export function hash32 (text: string, seed = 0): number {
  return api.h32(text, seed)
}
