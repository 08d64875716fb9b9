import type { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { RouterEntry } from '../model/router-entry.js'

/** Inputs of a `SlotOwnership`. */
export interface SlotOwnershipOptions {
  /** Monotonic clock. */
  readonly clock: ElapsedClock
  /** Live routers. */
  readonly routers: {
    /** Entry of this router. */
    readonly self: RouterEntry
    /** All live routers as members of rendezvous orders. */
    readonly order: RendezvousOrder<{ readonly name: string, readonly capacity: number, readonly entry: RouterEntry }>
  }
  /** Registered endpoints. */
  readonly endpoints: {
    /** All entries, including draining endpoints. */
    readonly entries: Iterable<EndpointEntry>
    /**
     * Returns the endpoints of a service that accept new requests.
     * @param service name of the service
     */
    ready (service: string): readonly EndpointEntry[]
  }
  /** Returns whether slot grants are enabled. */
  readonly isEnabled: () => boolean
  /**
   * Returns whether another router is known to be unreachable.
   * @param router the router
   */
  readonly isDown: (router: RouterEntry) => boolean
}
