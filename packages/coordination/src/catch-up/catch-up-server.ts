import type { AssembledCheckpoint } from '../assembled-checkpoint.js'
import type { StreamReplica } from '../stream-replica.js'
import { ByteBudget } from './byte-budget.js'
import type { FetchResponse } from './fetch-response.js'
import type { StateResponse } from './state-response.js'
import type { PeerCatchUpOptions } from './peer-catch-up-options.js'

/** Maximum bytes of records in one response. */
const MAXIMUM_FETCH_BYTES = 16_384
/** Maximum bytes of state in one response. */
const STATE_PART_BYTES = 16_384
/** Time for which an encoded state is cached for the peers that fetch its parts. */
const STATE_LIFETIME_MS = 10_000

interface CachedState extends AssembledCheckpoint {
  readonly takenAt: number
}

/** Serves records and state from memory to peers that are behind, within a byte budget. */
export class CatchUpServer {
  private readonly _options: PeerCatchUpOptions
  private readonly _budget: ByteBudget
  private readonly _cachedStates = new Map<string, CachedState>()

  /**
   * Registers the methods `log.fetch` and `log.state` with the messenger.
   * @param options streams, messenger, clock and byte budget
   */
  constructor (options: PeerCatchUpOptions) {
    this._options = options
    this._budget = new ByteBudget(options.clock, options.bytesPerSecond, options.burstBytes)
    options.messenger.handle('log.fetch', (params) => this._handleFetch(params))
    options.messenger.handle('log.state', (params) => this._handleState(params))
  }

  private _handleFetch (params: unknown): FetchResponse {
    const [index, offset] = params as [number, number]
    const replica = this._replica(index)
    if (replica === undefined || !this._budget.hasTokens) return { busy: true }
    const found = replica.recordsAfter(offset, MAXIMUM_FETCH_BYTES)
    if (found === undefined) return { expired: true }
    const records = found.map((record) =>
      [record.offset, record.previousOffset, Buffer.from(record.data).toString('base64')] as const)
    this._budget.spend(records.reduce((sum, [, , data]) => sum + data.length, 0))
    return { records }
  }

  private _handleState (params: unknown): StateResponse {
    const [index, part, covers] = params as [number, number, number]
    const replica = this._replica(index)
    if (replica === undefined || !this._budget.hasTokens) return { busy: true }
    const state = this._stateFor(replica, covers)
    const data = Buffer.from(state.state.subarray(part * STATE_PART_BYTES, (part + 1) * STATE_PART_BYTES)).toString('base64')
    this._budget.spend(data.length)
    return { covers: state.coversOffset, parts: Math.max(1, Math.ceil(state.state.length / STATE_PART_BYTES)), data }
  }

  private _replica (index: number): StreamReplica | undefined {
    const replica = this._options.streams[index]?.replica
    return replica?.started === true ? replica : undefined
  }

  /**
   * Returns the cached state during its lifetime if the peer is fetching its parts or starts a new fetch; else encodes and
   * caches a new one.
   */
  private _stateFor (replica: StreamReplica, covers: number): AssembledCheckpoint {
    const now = this._options.clock.now()
    const cached = this._cachedStates.get(replica.stream)
    if (cached !== undefined && now - cached.takenAt < STATE_LIFETIME_MS && (covers === cached.coversOffset || covers === 0)) return cached
    const state = { ...replica.checkpoint(), takenAt: now }
    this._cachedStates.set(replica.stream, state)
    return state
  }
}
