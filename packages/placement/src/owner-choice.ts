import { AffinityKey } from './affinity-key.js'
import type { OwnerCandidate } from './owner-candidate.js'
import { RendezvousOrder } from './rendezvous-order.js'

/** Workspace name in the keys of owned resources; empty, because no configured workspace has an empty name. */
const OWNERSHIP_WORKSPACE = ''

/**
 * Assigns an owner router to each named resource by rendezvous hashing over the live routers. Routers with the same
 * view of the membership select the same owner without communication, and the departure of a router reassigns only
 * the resources that it owned.
 */
export class OwnerChoice<Router extends OwnerCandidate> {
  private readonly _fleetOrder: RendezvousOrder<{ name: string, capacity: number, router: Router }>
  private readonly _zoneOrders = new Map<string, RendezvousOrder<{ name: string, capacity: number, router: Router }>>()

  /**
   * @param routers live routers; those that are leaving are used only if all of them are
   */
  constructor (routers: readonly Router[]) {
    const staying = routers.filter((router) => !router.leaving)
    const usable = staying.length > 0 ? staying : routers
    const members = usable.map((router) => ({ name: router.id, capacity: 1, router }))
    this._fleetOrder = new RendezvousOrder(members)
    for (const zone of new Set(usable.map((router) => router.availabilityZone))) {
      this._zoneOrders.set(zone, new RendezvousOrder(members.filter((member) => member.router.availabilityZone === zone)))
    }
  }

  /**
   * Returns the router that owns a named resource.
   * @param name name of the owned resource, unique in the fleet, for example `workspace/alpha`
   * @param availabilityZone zone whose routers are preferred; undefined for no preference
   * @returns undefined if there is no router
   */
  ownerOf (name: string, availabilityZone?: string): Router | undefined {
    const zone = availabilityZone === undefined ? undefined : this._zoneOrders.get(availabilityZone)
    const order = zone ?? this._fleetOrder
    return order.first(AffinityKey.forChat(OWNERSHIP_WORKSPACE, name), 1)[0]?.router
  }
}
