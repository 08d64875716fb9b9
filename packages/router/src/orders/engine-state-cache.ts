import type { Clock } from '@mimosarock/coordination/clock.js'
import type { Endpoint } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { EngineOrderClient } from './engine-order-client.js'
import type { EngineState } from './engine-state.js'
import type { PlannedEngine } from './planned-engine.js'

interface CachedState {
  readonly state: EngineState
  readonly readAt: number
}

/**
 * Reads the states of engines. When an engine does not respond, its last known state is used until the engine counts as
 * lost.
 */
export class EngineStateCache {
  private readonly _client: EngineOrderClient
  private readonly _clock: Clock
  private readonly _lostAfterMs: number
  private readonly _cache = new Map<string, CachedState>()

  /**
   * @param client client that reads the states
   * @param clock clock that measures the time since the last response
   * @param lostAfterMs time since the last response after which an engine counts as lost, in milliseconds
   */
  constructor (client: EngineOrderClient, clock: Clock, lostAfterMs: number) {
    this._client = client
    this._clock = clock
    this._lostAfterMs = lostAfterMs
  }

  /**
   * Reads the states of all given engines concurrently.
   * @param endpoints endpoints of the engines
   * @param timeoutMs timeout for each call, in milliseconds
   * @returns engines that are not lost, with their current or last known states
   */
  async read (endpoints: readonly Endpoint[], timeoutMs: number): Promise<PlannedEngine[]> {
    const engines = await Promise.all(endpoints.map(async (endpoint) => await this._readOne(endpoint, timeoutMs)))
    return engines.filter((engine) => engine !== undefined)
  }

  private async _readOne (endpoint: Endpoint, timeoutMs: number): Promise<PlannedEngine | undefined> {
    const { name, address, role } = endpoint
    try {
      const state = await this._client.read(address, timeoutMs)
      this._cache.set(address, { state, readAt: this._clock.now() })
      return { endpoint: name, address, role, state, reachable: true }
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
    }
    const cached = this._cache.get(address)
    if (cached === undefined || this._clock.now() - cached.readAt >= this._lostAfterMs) {
      this._cache.delete(address)
      return undefined
    }
    return { endpoint: name, address, role, state: cached.state, reachable: false }
  }
}
