import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ContextEvacuationOptions } from './context-evacuation-options.js'

/**
 * Maximum number of contexts transferred, starting with the most recently updated: chats that have been idle for longer
 * are less likely to continue.
 */
const MAXIMUM_CONTEXTS = 2_000

/** Transfers the contexts of an engine that is being retired to the engines that take over its chats. */
export class ContextEvacuation {
  private readonly _options: ContextEvacuationOptions

  /**
   * @param options configuration, endpoint states, cache indexes and context transfers
   */
  constructor (options: ContextEvacuationOptions) {
    this._options = options
  }

  /**
   * Transfers the contexts that the engine certainly holds, one after the other, each to the primary endpoint of its
   * chat among the remaining live endpoints.
   * @param poolName name of the pool
   * @param endpoint name of the endpoint that is being retired
   * @param signal stops the evacuation
   * @returns number of contexts transferred
   */
  async evacuate (poolName: string, endpoint: string, signal: AbortSignal): Promise<number> {
    const { configuration, isLive, cacheOf, contextTransfers } = this._options
    const pool = configuration.current()?.pools.get(poolName)
    const source = pool?.endpoints.find((candidate) => candidate.name === endpoint)
    const contexts = cacheOf(poolName, endpoint)?.recent(MAXIMUM_CONTEXTS) ?? []
    if (pool === undefined || source === undefined) return 0
    const remaining = pool.endpoints.filter((candidate) => candidate.name !== endpoint && isLive(poolName, candidate.name))
    const order = new RendezvousOrder(remaining)
    let transferred = 0
    for (const { affinityKey, tokens } of contexts) {
      const [target] = order.first(affinityKey, 1)
      if (signal.aborted || target === undefined) return transferred
      if (await contextTransfers.transfer(affinityKey, tokens, source.address, target.address, signal)) transferred += 1
    }
    return transferred
  }
}
