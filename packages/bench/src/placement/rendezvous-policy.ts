import { AffinityKey } from '@mimosarock/placement/affinity-key.js'
import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ChatArrival } from './chat-arrival.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ReplayedEngine } from './replayed-engine.js'

/** The first live engine of the chat's rendezvous order, whatever its load. */
export class RendezvousPolicy implements PlacementPolicy {
  private _order: RendezvousOrder<{ name: string, capacity: number, index: number }> | undefined

  /**
   * Chooses an engine.
   * @param arrival the turn
   * @param engines all engines
   */
  choose (arrival: ChatArrival, engines: readonly ReplayedEngine[]): number {
    return this.order(arrival, engines).find((index) => engines[index]?.live) ?? 0
  }

  /**
   * The chat's order of all engines.
   * @param arrival the turn
   * @param engines all engines
   */
  order (arrival: ChatArrival, engines: readonly ReplayedEngine[]): number[] {
    this._order ??= new RendezvousOrder(engines.map((_, index) => ({ name: `engine-${index}`, capacity: 1, index })))
    const key = AffinityKey.forChat('bench', String(arrival.chat))
    return this._order.first(key, engines.length).map((member) => member.index)
  }
}
