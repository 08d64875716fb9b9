/**
 * Combines the 64-bit hashes of a key and a name into a uniformly distributed 32-bit hash, with the multipliers of
 * the MurmurHash3 finalizer.
 * @param keyHigh upper half of the key's hash, 32 bits
 * @param keyLow lower half of the key's hash, 32 bits
 * @param nameHigh upper half of the name's hash, 32 bits
 * @param nameLow lower half of the name's hash, 32 bits
 * @returns an unsigned 32-bit integer
 */
export function mixKey (keyHigh: number, keyLow: number, nameHigh: number, nameLow: number): number {
  let bits = Math.imul(keyHigh ^ nameHigh, 0x85ebca6b)
  bits ^= bits >>> 15
  bits = Math.imul(bits ^ keyLow ^ nameLow, 0xc2b2ae35)
  bits ^= bits >>> 13
  bits = Math.imul(bits + nameHigh, 0x85ebca6b)
  bits ^= bits >>> 16
  return bits >>> 0
}
