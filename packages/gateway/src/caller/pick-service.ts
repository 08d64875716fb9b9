import type { ServiceShare } from '../model/service-share.js'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
const HASH_RANGE = 4_294_967_296

/**
 * Picks one of a route's services in proportion to their weights. The choice depends on a hash of the request id;
 * the same id always gets the same service.
 * @param shares services and their weights, at least one
 * @param requestId id of the caller's attempt
 * @returns the name of the service
 */
export function pickService (shares: readonly ServiceShare[], requestId: string): string {
  const first = shares[0] as ServiceShare
  if (shares.length === 1) return first.service
  const total = shares.reduce((sum, share) => sum + share.weight, 0)
  let point = hashOf(requestId) / HASH_RANGE * total
  for (const share of shares) {
    point -= share.weight
    if (point < 0) return share.service
  }
  return first.service
}

// FNV-1a (Fowler, Noll and Vo, 32 bits) with a final mixing step, because request ids often differ in a few digits only.
function hashOf (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  return (hash ^ (hash >>> 13)) >>> 0
}
