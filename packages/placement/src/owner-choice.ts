import { AffinityKey } from './affinity-key.js'
import type { OwnerCandidate } from './owner-candidate.js'
import { RendezvousOrder } from './rendezvous-order.js'

/** Workspace part of the keys under which owners are chosen; no workspace can have an empty name. */
const OWNERSHIP = ''

/**
 * Chooses one router for each name by rendezvous over the live routers, so that routers with the same view
 * agree without a message, and a router that goes moves only what it owned.
 */
export class OwnerChoice<Router extends OwnerCandidate> {
  private readonly _all: RendezvousOrder<{ name: string, capacity: number, router: Router }>
  private readonly _byZone = new Map<string, RendezvousOrder<{ name: string, capacity: number, router: Router }>>()

  /**
   * @param routers the live routers; those that are leaving are used only if there is no other
   */
  constructor (routers: readonly Router[]) {
    const staying = routers.filter((router) => !router.leaving)
    const usable = staying.length > 0 ? staying : routers
    const members = usable.map((router) => ({ name: router.id, capacity: 1, router }))
    this._all = new RendezvousOrder(members)
    for (const zone of new Set(usable.map((router) => router.availabilityZone))) {
      this._byZone.set(zone, new RendezvousOrder(members.filter((member) => member.router.availabilityZone === zone)))
    }
  }

  /**
   * The router that owns a name.
   * @param name what is owned, unique in the fleet, for example pool/endpoint
   * @param availabilityZone zone in which a router is preferred; undefined for none
   * @returns undefined if there is no router at all
   */
  ownerOf (name: string, availabilityZone?: string): Router | undefined {
    const zone = availabilityZone === undefined ? undefined : this._byZone.get(availabilityZone)
    const order = zone ?? this._all
    return order.first(AffinityKey.forChat(OWNERSHIP, name), 1)[0]?.router
  }
}
