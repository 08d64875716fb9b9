/** Highest count that fits into one byte. */
const MAXIMUM_ONE_BYTE_COUNT = 255
const MAXIMUM_TWO_BYTE_COUNT = 65_535
/** Prefixes that give the number of bytes per count. */
const ONE_BYTE_COUNTS = '1'
const TWO_BYTE_COUNTS = '2'

/**
 * Encodes requests in flight in base64, as counts in the order of the endpoints. For thousands of endpoints this takes
 * an eighth of the size of endpoint ids and decimal counts.
 * @param counts one count per endpoint; counts above 65,535 are encoded as 65,535
 */
export function encodeLoads (counts: readonly number[]): string {
  if (counts.every((count) => count <= MAXIMUM_ONE_BYTE_COUNT)) return ONE_BYTE_COUNTS + Buffer.from(Uint8Array.from(counts).buffer).toString('base64')
  const bytes = Buffer.alloc(counts.length * 2)
  counts.forEach((count, index) => bytes.writeUInt16LE(Math.min(count, MAXIMUM_TWO_BYTE_COUNT), index * 2))
  return TWO_BYTE_COUNTS + bytes.toString('base64')
}
