import type { RouterIdentity } from '../router-identity.js'
import { hash32 } from './hash32.js'

const SUCCESSORS = 2
const LONG_RANGE_LINKS = 2

/**
 * Returns the routers to which a router sends heartbeats: its successors on a hash ring, which connect the whole
 * fleet, and pseudo-random long-range links, which keep the number of hops between two routers logarithmic.
 * The number of peers does not grow with the fleet. The choice is deterministic: routers with the same view of the
 * fleet compute the same peers for every router.
 * @param selfId id of the sending router
 * @param routers all routers that are not removed; may include the sending router
 */
export function chooseHeartbeatPeers (selfId: string, routers: readonly RouterIdentity[]): RouterIdentity[] {
  const selfPosition = hash32(selfId)
  const others = routers.filter((router) => router.id !== selfId)
  const ringDistance = (router: RouterIdentity): number => (hash32(router.id) - selfPosition) >>> 0
  const linkOrder = (router: RouterIdentity): number => hash32(router.id, selfPosition)
  const successors = firstByKey(others, SUCCESSORS, ringDistance)
  const rest = others.filter((router) => !successors.includes(router))
  return [...successors, ...firstByKey(rest, LONG_RANGE_LINKS, linkOrder)]
}

function firstByKey (routers: readonly RouterIdentity[], count: number, order: (router: RouterIdentity) => number): RouterIdentity[] {
  const ordered = routers.map((router) => ({ router, key: order(router) }))
  ordered.sort((left, right) => left.key - right.key || (left.router.id < right.router.id ? -1 : 1))
  return ordered.slice(0, count).map((item) => item.router)
}
