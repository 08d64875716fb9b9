import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ContextEvacuationOptions } from './context-evacuation-options.js'

/** Contexts carried at most, those used last first: older chats are less likely to return. */
const MAXIMUM_CONTEXTS = 2_000

/** Carries the contexts of an engine that goes to the engines that get its chats. */
export class ContextEvacuation {
  private readonly _options: ContextEvacuationOptions

  /**
   * @param options what it works with
   */
  constructor (options: ContextEvacuationOptions) {
    this._options = options
  }

  /**
   * Carries contexts one after the other, each to the first endpoint of its chat's order without the one that goes.
   * @param poolName name of the pool
   * @param endpoint name of the endpoint that goes
   * @param signal ends it
   * @returns contexts carried
   */
  async evacuate (poolName: string, endpoint: string, signal: AbortSignal): Promise<number> {
    const { configuration, isLive, cacheOf, carrier } = this._options
    const pool = configuration.current()?.pools.get(poolName)
    const source = pool?.endpoints.find((candidate) => candidate.name === endpoint)
    const contexts = cacheOf(poolName, endpoint)?.recent(MAXIMUM_CONTEXTS) ?? []
    if (pool === undefined || source === undefined) return 0
    const remaining = pool.endpoints.filter((candidate) => candidate.name !== endpoint && isLive(poolName, candidate.name))
    const order = new RendezvousOrder(remaining)
    let carried = 0
    for (const { affinityKey, tokens } of contexts) {
      const [target] = order.first(affinityKey, 1)
      if (signal.aborted || target === undefined) return carried
      if (await carrier.carry(affinityKey, tokens, source.address, target.address, signal)) carried += 1
    }
    return carried
  }
}
