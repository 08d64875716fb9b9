import type { LoadByEndpoint } from '../choice/load-by-endpoint.js'

/** Marks counts of two bytes each. */
const SHORTS = '2'

/**
 * Reads what `encodeLoads` wrote.
 * @param text the counts
 * @param endpointIds identities of the endpoints in the order in which they were counted
 */
export function decodeLoads (text: string, endpointIds: readonly string[]): LoadByEndpoint {
  const bytes = Buffer.from(text.slice(1), 'base64')
  const isShort = text.startsWith(SHORTS)
  const loads: Record<string, number> = {}
  endpointIds.forEach((id, index) => {
    const count = isShort ? bytes.readUInt16LE(index * 2) : bytes[index] ?? 0
    if (count > 0) loads[id] = count
  })
  return loads
}
