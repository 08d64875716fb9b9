import { AffinityKey } from '@mimosarock/placement/affinity-key.js'
import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ChatArrival } from './chat-arrival.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ReplayedEngine } from './replayed-engine.js'

/** Chooses the first live engine in the chat's rendezvous order, regardless of its load. */
export class RendezvousPolicy implements PlacementPolicy {
  private _order: RendezvousOrder<{ name: string, capacity: number, index: number }> | undefined

  /**
   * Chooses an engine.
   * @param arrival turn to place
   * @param engines all engines, including unavailable ones
   */
  choose (arrival: ChatArrival, engines: readonly ReplayedEngine[]): number {
    return this.order(arrival, engines).find((index) => engines[index]?.live) ?? 0
  }

  /**
   * Returns the indexes of all engines in the chat's rendezvous order.
   * @param arrival turn of the chat
   * @param engines all engines, in the same order on every call
   */
  order (arrival: ChatArrival, engines: readonly ReplayedEngine[]): number[] {
    this._order ??= new RendezvousOrder(engines.map((_, index) => ({ name: `engine-${index}`, capacity: 1, index })))
    const key = AffinityKey.forChat('bench', String(arrival.chat))
    return this._order.first(key, engines.length).map((member) => member.index)
  }
}
