import type { LoadByEndpoint } from '../choice/load-by-endpoint.js'

/** Prefix of an encoding with two bytes per count. */
const TWO_BYTE_COUNTS = '2'

/**
 * Decodes the output of `encodeLoads`. Endpoints without requests in flight are omitted.
 * @param text encoded counts
 * @param endpointIds endpoint ids in the order of the counts
 */
export function decodeLoads (text: string, endpointIds: readonly string[]): LoadByEndpoint {
  const bytes = Buffer.from(text.slice(1), 'base64')
  const hasTwoByteCounts = text.startsWith(TWO_BYTE_COUNTS)
  const loads: Record<string, number> = {}
  endpointIds.forEach((id, index) => {
    const count = hasTwoByteCounts ? bytes.readUInt16LE(index * 2) : bytes[index] ?? 0
    if (count > 0) loads[id] = count
  })
  return loads
}
