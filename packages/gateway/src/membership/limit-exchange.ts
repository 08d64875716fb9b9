import type { EndpointLimits } from '../limits/endpoint-limits.js'
import type { FleetPermits } from '../limits/fleet-permits.js'
import type { LimitNote } from '../limits/limit-note.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { WarmUpTable } from '../warm-up/warm-up-table.js'
import type { FleetState } from './fleet-state.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'

/** Time after the last answer of a router from which permits are not requested there any more. */
const FOLLOWING_TIMEOUT_MS = 1_500

/** The router that this one follows, as far as limits are concerned. */
interface Upstream {
  readonly address: string
  readonly answeredAt: number
  readonly revision: string | undefined
  readonly notes: readonly LimitNote[]
}

/** Exchanges limits of endpoints, and permits, in the sync requests of one router. */
export class LimitExchange {
  private readonly _limits: EndpointLimits
  private readonly _permits: FleetPermits
  private readonly _warmUps: WarmUpTable
  private readonly _clock: ElapsedClock
  private _upstream: Upstream | undefined
  /** Time of the last request, if it included the observations of this router. */
  private _requestedAt: number | undefined
  /** Time of the last request with observations that the followed router has answered. */
  private _reportedAt = -Infinity

  /**
   * @param state limits and permits
   * @param clock clock of the router
   */
  constructor ({ limits, permits, warmUps }: Pick<FleetState, 'limits' | 'permits' | 'warmUps'>, clock: ElapsedClock) {
    this._limits = limits
    this._permits = permits
    this._warmUps = warmUps
    this._clock = clock
  }

  /**
   * Returns what a request to a router includes. Only the followed router gets observations and is asked for permits: several that
   * issued for the same routers would issue more than the limits allow.
   * @param address address of the router
   */
  requestFields (address: string): Pick<SyncRequest, 'limits' | 'coldEndpoints' | 'limitsRevision' | 'permitRequest'> {
    const upstream = this._upstream
    this._requestedAt = undefined
    if (upstream === undefined || upstream.address !== address || this._clock.now() - upstream.answeredAt > FOLLOWING_TIMEOUT_MS) return {}
    this._requestedAt = this._clock.now()
    this._permits.recordDemand()
    const observed = this._limits.observedSince(this._reportedAt)
    const cold = this._warmUps.observedSince(this._reportedAt)
    return {
      limits: observed.length === 0 ? undefined : observed,
      coldEndpoints: cold.length === 0 ? undefined : cold,
      limitsRevision: upstream.revision,
      permitRequest: this._permits.wanted
    }
  }

  /**
   * Learns the limits in an answer of any router.
   * @param answer the answer
   * @param sentAt time at which the request was sent
   */
  learn ({ limits, coldEndpoints, name }: SyncAnswer, sentAt: number): void {
    if (limits !== undefined) this._limits.learn(limits, sentAt, name)
    if (coldEndpoints !== undefined) this._warmUps.learn(coldEndpoints, sentAt)
  }

  /**
   * Adopts the limits and the permits in an answer of the followed router.
   * @param address address of that router
   * @param answer the answer
   */
  applyFollowed (address: string, answer: SyncAnswer): void {
    const isSameUpstream = this._upstream?.address === address
    const known = isSameUpstream ? this._upstream?.notes : undefined
    const notes = answer.limits ?? known ?? []
    const requestedAt = isSameUpstream ? this._requestedAt : undefined
    if (!isSameUpstream) this._reportedAt = -Infinity
    else if (requestedAt !== undefined) this._reportedAt = requestedAt
    this._upstream = { address, answeredAt: this._clock.now(), revision: answer.limitsRevision, notes }
    const issuesPermits = answer.limitsRevision !== undefined
    if (issuesPermits) this._limits.retain(notes, answer.name)
    // A router that has not been told of the presumptions of this one does not contradict them.
    if (answer.coldEndpoints !== undefined && requestedAt !== undefined) this._warmUps.retain(answer.coldEndpoints)
    this._permits.deposit(issuesPermits ? answer.permits ?? [] : undefined)
  }
}
