/**
 * Mixes a key's and a name's 64 bits into 32 evenly spread bits, with the finalizer of MurmurHash3.
 * @param keyHigh upper half of the key's bits
 * @param keyLow lower half of the key's bits
 * @param nameHigh upper half of the name's bits
 * @param nameLow lower half of the name's bits
 * @returns an unsigned 32 bit integer
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
