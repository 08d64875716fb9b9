import type { AssembledCheckpoint } from '../assembled-checkpoint.js'
import type { StreamReplica } from '../stream-replica.js'
import { ByteBudget } from './byte-budget.js'
import type { FetchAnswer } from './fetch-answer.js'
import type { StateAnswer } from './state-answer.js'
import type { StreamSpreaderOptions } from './stream-spreader-options.js'

/** Record bytes in one answer. */
const FETCH_BYTES = 16_384
/** State bytes in one answer. */
const STATE_PART_BYTES = 16_384
/** How long a state is kept for the peers that fetch its parts, in milliseconds. */
const STATE_KEPT_MS = 10_000

interface KeptState extends AssembledCheckpoint {
  readonly takenAt: number
}

/** Answers peers that are behind, from memory and within the budget of bytes. */
export class SpreadServer {
  private readonly _options: StreamSpreaderOptions
  private readonly _budget: ByteBudget
  private readonly _states = new Map<string, KeptState>()

  /**
   * Registers the methods at the messenger.
   * @param options what the spreader works with
   */
  constructor (options: StreamSpreaderOptions) {
    this._options = options
    this._budget = new ByteBudget(options.clock, options.bytesPerSecond, options.burstBytes)
    options.messenger.handle('log.fetch', (params) => this._fetch(params))
    options.messenger.handle('log.state', (params) => this._state(params))
  }

  private _fetch (params: unknown): FetchAnswer {
    const [index, offset] = params as [number, number]
    const replica = this._replica(index)
    if (replica === undefined || !this._budget.isOpen) return { busy: true }
    const found = replica.recordsAfter(offset, FETCH_BYTES)
    if (found === undefined) return { expired: true }
    const records = found.map((record) =>
      [record.offset, record.previousOffset, Buffer.from(record.data).toString('base64')] as const)
    this._budget.spend(records.reduce((sum, [, , data]) => sum + data.length, 0))
    return { records }
  }

  private _state (params: unknown): StateAnswer {
    const [index, part, covers] = params as [number, number, number]
    const replica = this._replica(index)
    if (replica === undefined || !this._budget.isOpen) return { busy: true }
    const state = this._stateFor(replica, covers)
    const data = Buffer.from(state.state.subarray(part * STATE_PART_BYTES, (part + 1) * STATE_PART_BYTES)).toString('base64')
    this._budget.spend(data.length)
    return { covers: state.coversOffset, parts: Math.max(1, Math.ceil(state.state.length / STATE_PART_BYTES)), data }
  }

  private _replica (index: number): StreamReplica | undefined {
    const replica = this._options.streams[index]?.replica
    return replica?.started === true ? replica : undefined
  }

  /** The state whose parts the peer has begun to fetch, else the newest. */
  private _stateFor (replica: StreamReplica, covers: number): AssembledCheckpoint {
    const now = this._options.clock.now()
    const kept = this._states.get(replica.stream)
    if (kept !== undefined && now - kept.takenAt < STATE_KEPT_MS && (covers === kept.coversOffset || covers === 0)) return kept
    const state = { ...replica.checkpoint(), takenAt: now }
    this._states.set(replica.stream, state)
    return state
  }
}
