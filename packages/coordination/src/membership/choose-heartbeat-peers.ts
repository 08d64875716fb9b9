import type { RouterIdentity } from '../router-identity.js'
import { hash32 } from './hash32.js'

const SUCCESSORS = 2
const LONG_LINKS = 2

/**
 * Picks the routers to which one router sends heartbeats: its successors on a ring ordered by hash, which make
 * the links connect the whole fleet, and long links drawn by hash, which keep the number of hops logarithmic.
 * The number does not grow with the fleet. Every router with the same view of the fleet picks the same for all.
 * @param selfId id of the router that sends
 * @param routers the routers that are not removed
 */
export function chooseHeartbeatPeers (selfId: string, routers: readonly RouterIdentity[]): RouterIdentity[] {
  const selfPosition = hash32(selfId)
  const others = routers.filter((router) => router.id !== selfId)
  const ringDistance = (router: RouterIdentity): number => (hash32(router.id) - selfPosition) >>> 0
  const linkOrder = (router: RouterIdentity): number => hash32(router.id, selfPosition)
  const successors = smallest(others, SUCCESSORS, ringDistance)
  const rest = others.filter((router) => !successors.includes(router))
  return [...successors, ...smallest(rest, LONG_LINKS, linkOrder)]
}

function smallest (routers: readonly RouterIdentity[], count: number, order: (router: RouterIdentity) => number): RouterIdentity[] {
  const ordered = routers.map((router) => ({ router, key: order(router) }))
  ordered.sort((left, right) => left.key - right.key || (left.router.id < right.router.id ? -1 : 1))
  return ordered.slice(0, count).map((item) => item.router)
}
