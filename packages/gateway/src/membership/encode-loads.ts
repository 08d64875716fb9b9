/** Highest count that fits into one byte. */
const BYTE_MAXIMUM = 255
const SHORT_MAXIMUM = 65_535
/** Marks how many bytes a count takes. */
const BYTES = '1'
const SHORTS = '2'

/**
 * Writes requests in flight as counts in the order of the endpoints, in base64: for thousands of endpoints an eighth of
 * what names and numbers take.
 * @param counts one for each endpoint
 */
export function encodeLoads (counts: readonly number[]): string {
  if (counts.every((count) => count <= BYTE_MAXIMUM)) return BYTES + Buffer.from(Uint8Array.from(counts).buffer).toString('base64')
  const shorts = Buffer.alloc(counts.length * 2)
  counts.forEach((count, index) => shorts.writeUInt16LE(Math.min(count, SHORT_MAXIMUM), index * 2))
  return SHORTS + shorts.toString('base64')
}
