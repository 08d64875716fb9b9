import type { Clock } from '@mimosarock/coordination/clock.js'
import type { Endpoint } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { EngineOrderClient } from './engine-order-client.js'
import type { EngineState } from './engine-state.js'
import type { PlannedEngine } from './planned-engine.js'

interface KnownState {
  readonly state: EngineState
  readonly readAt: number
}

/** Reads the states of engines, and remembers each for as long as its engine may only be slow. */
export class KnownEngineStates {
  private readonly _client: EngineOrderClient
  private readonly _clock: Clock
  private readonly _lostAfterMs: number
  private readonly _known = new Map<string, KnownState>()

  /**
   * @param client reads the states
   * @param clock counts the time without an answer
   * @param lostAfterMs time without an answer after which an engine is lost, in milliseconds
   */
  constructor (client: EngineOrderClient, clock: Clock, lostAfterMs: number) {
    this._client = client
    this._clock = clock
    this._lostAfterMs = lostAfterMs
  }

  /**
   * Reads all engines at once; lost ones are left out.
   * @param endpoints the engines
   * @param timeoutMs bound on each call, in milliseconds
   */
  async read (endpoints: readonly Endpoint[], timeoutMs: number): Promise<PlannedEngine[]> {
    const engines = await Promise.all(endpoints.map(async (endpoint) => await this._readOne(endpoint, timeoutMs)))
    return engines.filter((engine) => engine !== undefined)
  }

  private async _readOne (endpoint: Endpoint, timeoutMs: number): Promise<PlannedEngine | undefined> {
    const { name, address, role } = endpoint
    try {
      const state = await this._client.read(address, timeoutMs)
      this._known.set(address, { state, readAt: this._clock.now() })
      return { endpoint: name, address, role, state, reachable: true }
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
    }
    const known = this._known.get(address)
    if (known === undefined || this._clock.now() - known.readAt >= this._lostAfterMs) {
      this._known.delete(address)
      return undefined
    }
    return { endpoint: name, address, role, state: known.state, reachable: false }
  }
}
