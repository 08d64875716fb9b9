import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Backoff after a failure, during which other endpoints are preferred; doubles with each consecutive failure. */
const INITIAL_BACKOFF_MS = 400
/** Maximum backoff; a recovered endpoint receives requests again within this time. */
const MAXIMUM_BACKOFF_MS = 4_000

/** Consecutive failures that make a reachable endpoint suspect; a single response may get lost by chance. */
const SUSPECT_FAILURE_COUNT = 2

/** Consecutive failures of one endpoint. */
interface FailureRecord {
  readonly count: number
  readonly backoffUntil: number
  readonly isUnreachable: boolean
}

/** Passive health checks: tracks endpoint failures that this router has seen. Suspect endpoints are used only as a last resort. */
export class EndpointHealth {
  private readonly _failures = new Map<string, FailureRecord>()
  private readonly _clock: ElapsedClock
  private readonly _isSilent: (endpointId: string) => boolean
  private readonly _isEjected: (endpointId: string) => boolean

  /**
   * @param clock measures the backoff
   * @param isSilent returns whether an endpoint sends nothing although calls to it are in progress
   * @param isEjected returns whether the fleet leaves an endpoint out since it fails requests
   */
  constructor (
    clock: ElapsedClock, isSilent: (endpointId: string) => boolean = () => false, isEjected: (endpointId: string) => boolean = () => false
  ) {
    this._clock = clock
    this._isSilent = isSilent
    this._isEjected = isEjected
  }

  /**
   * Returns whether an endpoint is suspect: it is silent, a connection has failed recently or several consecutive calls have.
   * @param endpointId id of the endpoint
   */
  isSuspect (endpointId: string): boolean {
    if (this._isSilent(endpointId)) return true
    const failures = this._recentFailures(endpointId)
    return failures !== undefined && (failures.isUnreachable || failures.count >= SUSPECT_FAILURE_COUNT)
  }

  /**
   * Returns the endpoints that are neither suspect nor ejected; if there is none, those that are not suspect, or else all of them.
   * @param endpoints candidates
   */
  preferHealthy (endpoints: readonly EndpointEntry[]): readonly EndpointEntry[] {
    const responding = endpoints.filter((endpoint) => !this.isSuspect(endpoint.id))
    return responding.length > 0 ? this.preferAdmitted(responding) : endpoints
  }

  /**
   * Returns the endpoints that are not ejected, or all of them if each one is.
   * @param endpoints candidates
   */
  preferAdmitted (endpoints: readonly EndpointEntry[]): readonly EndpointEntry[] {
    if (!endpoints.some(({ id }) => this._isEjected(id))) return endpoints
    const admitted = endpoints.filter(({ id }) => !this._isEjected(id))
    return admitted.length > 0 ? admitted : endpoints
  }

  /**
   * Returns whether the last failure of an endpoint is recent and was a failed connection.
   * @param endpointId id of the endpoint
   */
  isUnreachable (endpointId: string): boolean {
    return this._recentFailures(endpointId)?.isUnreachable === true
  }

  /**
   * Records a failure that the endpoint caused and starts its backoff.
   * @param endpointId id of the endpoint
   * @param isUnreachable whether no connection could be made
   */
  recordFailure (endpointId: string, isUnreachable: boolean): void {
    const count = (this._failures.get(endpointId)?.count ?? 0) + 1
    const backoffMs = Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (count - 1))
    this._failures.set(endpointId, { count, backoffUntil: this._clock.now() + backoffMs, isUnreachable })
  }

  /**
   * Records a complete response and resets the failures of the endpoint.
   * @param endpointId id of the endpoint
   */
  recordSuccess (endpointId: string): void {
    this._failures.delete(endpointId)
  }

  private _recentFailures (endpointId: string): FailureRecord | undefined {
    const failures = this._failures.get(endpointId)
    return failures !== undefined && failures.backoffUntil > this._clock.now() ? failures : undefined
  }
}
