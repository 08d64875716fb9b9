import type { ServiceRequest } from '../admission/service-request.js'
import { WaitFractions } from '../admission/wait-fractions.js'
import type { ChoiceConstraints } from '../choice/choice-constraints.js'
import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import type { SlotGrant } from '../grants/slot-grant.js'
import type { SlotLease } from '../grants/slot-lease.js'
import { SlotOutcome } from '../grants/slot-outcome.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { StatedLoad } from '../model/stated-load.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { AdmissionPath } from './admission-path.js'
import type { GrantedAdmissionOptions } from './granted-admission-options.js'
import { notRunError } from './not-run-error.js'

/** Number of grants of endpoints that this router cannot use, after which the request uses this router's share. */
const MAXIMUM_UNUSABLE_GRANTS = 3

/**
 * Admission by the slot owner of the service, which also chooses the endpoint of each attempt. Without an answer of the owner
 * in time, the request takes the path of services without grants.
 */
export class GrantedAdmission implements AdmissionPath {
  private readonly _options: GrantedAdmissionOptions
  private _request: ServiceRequest | undefined
  private _lease: SlotLease | undefined
  private _usesFallback = false
  private _slotOwner: string | undefined
  private _grantMs = 0

  /**
   * @param options the request and the components that it uses
   */
  constructor (options: GrantedAdmissionOptions) {
    this._options = options
  }

  get slotOwner (): string | undefined {
    return this._slotOwner
  }

  get grantMs (): number | undefined {
    return this._grantMs
  }

  tryAdmit (request: ServiceRequest): boolean {
    if (this._options.isProcessFull()) throw notRunError(ResultCode.OVERLOADED, 'the router has reached the concurrency limit of its process')
    this._request = request
    return false
  }

  async wait (request: ServiceRequest, signal: AbortSignal): Promise<void> {
    const { admission, clock, fallback, timeLeftMs } = this._options
    const startedAt = clock.now()
    admission.countGranted()
    try {
      this._lease = await this._acquire(request, new Set(), signal)
    } catch (error) {
      admission.withdraw()
      throw error
    }
    if (this._lease !== undefined) return
    admission.withdraw()
    this._usesFallback = true
    const elapsedMs = clock.now() - startedAt
    // The time that the request has waited for the owner counts toward the time for which it may be queued.
    const rest = { ...request, objectiveMs: Math.max(0, request.objectiveMs - elapsedMs / WaitFractions.OF_OBJECTIVE), timeLeftMs: timeLeftMs() }
    if (!fallback.tryAdmit(rest)) await fallback.wait(rest, signal)
  }

  choose (constraints: ChoiceConstraints, signal: AbortSignal): ChosenEndpoint | undefined | Promise<ChosenEndpoint | undefined> {
    if (this._usesFallback) return this._options.fallback.choose(constraints, signal)
    return this._chooseGranted(constraints, signal)
  }

  endCall (outcome: SlotOutcome, load: StatedLoad | undefined): void {
    this._lease?.release(outcome, load)
    this._lease = undefined
  }

  recordDispatch (): void {
    this._options.admission.recordDispatch()
  }

  withdraw (): void {
    this._releaseUnused()
    this._options.admission.withdraw()
  }

  release (elapsedMs: number): void {
    this._releaseUnused()
    this._options.admission.release(elapsedMs)
  }

  private async _chooseGranted (constraints: ChoiceConstraints, signal: AbortSignal): Promise<ChosenEndpoint | undefined> {
    const { selector, prompt, fallback } = this._options
    const excluded = new Set(constraints.excluded)
    for (let count = 0; count < MAXIMUM_UNUSABLE_GRANTS; count += 1) {
      this._lease ??= await this._acquire(this._request as ServiceRequest, excluded, signal)
      if (this._lease === undefined) break
      const { grant } = this._lease
      const endpoint = this._usableEndpoint(grant)
      if (endpoint !== undefined && !excluded.has(endpoint.id) && constraints.mayRunAt?.(endpoint) !== false) return selector.chooseGranted(endpoint, prompt, constraints.mayRunAt)
      excluded.add(grant.endpointId)
      this._releaseUnused()
    }
    return await fallback.choose(constraints, signal)
  }

  private _releaseUnused (): void {
    this._lease?.release(SlotOutcome.UNUSED)
    this._lease = undefined
  }

  /** Returns the endpoint of a grant; undefined if this router cannot use it. */
  private _usableEndpoint ({ endpointId, startedAt }: SlotGrant): EndpointEntry | undefined {
    const endpoint = this._options.endpoints.find(endpointId)
    return endpoint?.startedAt === startedAt && this._isUsable(endpoint, this._healthyIds()) ? endpoint : undefined
  }

  private _isUsable (endpoint: EndpointEntry, healthyIds: ReadonlySet<string>): boolean {
    const { permits, selector } = this._options
    return healthyIds.has(endpoint.id) && permits.allows(endpoint) && selector.isUsable(endpoint)
  }

  private _healthyIds (): ReadonlySet<string> {
    const { service, endpoints, health } = this._options
    return new Set(health.preferHealthy(endpoints.ready(service)).map(({ id }) => id))
  }

  private async _acquire (request: ServiceRequest, excluded: ReadonlySet<string>, signal: AbortSignal): Promise<SlotLease | undefined> {
    const { service, prompt, zones, client, clock, selector, timeLeftMs } = this._options
    const startedAt = clock.now()
    const { workspace, rank, routeRank, objectiveMs } = request
    try {
      const lease = await client.acquire({
        service,
        workspace,
        rank,
        routeRank,
        objectiveMs,
        timeLeftMs: timeLeftMs(),
        excluded: [...excluded, ...this._unusableIds(excluded)],
        zones,
        preferred: selector.preferredFor(service, prompt)
      }, signal)
      this._slotOwner = lease?.owner
      return lease
    } finally {
      this._grantMs += clock.now() - startedAt
    }
  }

  /** Returns the ids of the endpoints that this router cannot use now, apart from those that are excluded anyway. */
  private _unusableIds (excluded: ReadonlySet<string>): readonly string[] {
    const { service, endpoints } = this._options
    const ready = endpoints.ready(service)
    const healthyIds = this._healthyIds()
    const unusable = ready.filter((endpoint) => !this._isUsable(endpoint, healthyIds))
    // If all are unusable, the owner may know better.
    if (unusable.length === ready.length) return []
    return unusable.map(({ id }) => id).filter((id) => !excluded.has(id))
  }
}
