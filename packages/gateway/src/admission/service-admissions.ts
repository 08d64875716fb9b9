import type { Homes } from '../homes/homes.js'
import { ServiceAdmission } from './service-admission.js'
import type { ServiceAdmissionsOptions } from './service-admissions-options.js'

/** Requests of a service that may run at the same endpoints, and their admission control. */
interface AdmissionGroup {
  readonly service: string
  /** Regions in which alone the requests may run; undefined if they may run everywhere. */
  readonly homes: Homes | undefined
  readonly admission: ServiceAdmission
}

/**
 * Admission control of all services, each with its own limit, all together within the concurrency limit of the process.
 *
 * Requests with home regions have a limit and a queue for each combination of regions. The limit is that of the endpoints there,
 * less what other requests of this router have in flight at them. So a request neither is admitted because of room
 * that it may not use, nor delays requests that may run elsewhere.
 */
export class ServiceAdmissions {
  private readonly _options: ServiceAdmissionsOptions
  private readonly _groups = new Map<string, AdmissionGroup>()

  /**
   * @param options settings and dependencies
   */
  constructor (options: ServiceAdmissionsOptions) {
    this._options = options
  }

  /**
   * Returns the admission control of the requests of a service that have the same home regions, and creates it on first use.
   * @param service name of the service
   * @param homes regions in which alone the requests may run; undefined if they may run everywhere
   */
  get (service: string, homes?: Homes): ServiceAdmission {
    const key = homes === undefined ? service : `${service} ${homes.key}`
    let group = this._groups.get(key)
    if (group === undefined) {
      group = this._createGroup(service, homes)
      this._groups.set(key, group)
    }
    return group.admission
  }

  /**
   * Returns the number of queued requests of a service.
   * @param service name of the service
   */
  queued (service: string): number {
    return this._groupsOf(service).reduce((sum, { admission }) => sum + admission.queued, 0)
  }

  /** Whether one more request would exceed the concurrency limit of the process. */
  get isProcessFull (): boolean {
    let inFlight = 0
    for (const { admission } of this._groups.values()) inFlight += admission.inFlight
    return inFlight + 1 > this._options.processLimit()
  }

  /** Admits queued requests of all services up to the current limits; call it when limits may have grown. */
  admitQueued (): void {
    const services = new Set([...this._groups.values()].map(({ service }) => service))
    for (const service of services) this._admitQueuedOf(service)
  }

  /** The same for requests with home regions, which are no longer queued once there is no endpoint where they may run. */
  admitQueuedWithHomes (): void {
    for (const { homes, admission } of this._groups.values()) if (homes !== undefined) admission.admitQueued()
  }

  private _createGroup (service: string, homes: Homes | undefined): AdmissionGroup {
    const { clock, random, rateLimitOf, fairnessOf, loadAt } = this._options
    const group: AdmissionGroup = {
      service,
      homes,
      admission: new ServiceAdmission({
        service,
        clock,
        random,
        limit: () => this._limit(group),
        rateLimit: rateLimitOf(service, homes),
        fairness: fairnessOf(service, homes),
        onReleased: () => this._admitQueuedOf(service),
        inFlightAtEndpoints: homes === undefined ? undefined : () => loadAt(service, homes)
      })
    }
    return group
  }

  private _groupsOf (service: string): readonly AdmissionGroup[] {
    return [...this._groups.values()].filter((group) => group.service === service)
  }

  /** Admits requests of all groups of a service in the order in which the queue of one group serves its ranks. */
  private _admitQueuedOf (service: string): void {
    const groups = this._groupsOf(service)
    if (groups.length === 1) return groups[0]?.admission.admitQueued()
    for (;;) {
      let next: ServiceAdmission | undefined
      for (const { admission } of groups) {
        const fraction = admission.nextFraction
        if (fraction !== undefined && (next === undefined || fraction < (next.nextFraction ?? 0))) next = admission
      }
      if (next === undefined) return
      next.admitNext()
    }
  }

  private _limit (group: AdmissionGroup): number {
    let otherGroupsInFlight = 0
    for (const other of this._groups.values()) if (other !== group) otherGroupsInFlight += other.admission.inFlight
    const ownLimit = this._options.limitOf(group.service, group.homes) - this._othersAtEndpointsOf(group)
    return Math.min(ownLimit, this._options.processLimit() - otherGroupsInFlight)
  }

  /** Returns how many requests of other groups of the same service use the capacity that a group may use. */
  private _othersAtEndpointsOf (group: AdmissionGroup): number {
    const { service, homes, admission } = group
    let inFlight = 0
    let undispatched = 0
    for (const other of this._groups.values()) {
      if (other === group || other.service !== service || other.homes === undefined) continue
      if (homes !== undefined && !other.homes.isWithin(homes)) continue
      inFlight += other.admission.inFlight
      undispatched += other.admission.undispatched
    }
    if (homes === undefined) return inFlight
    const dispatched = admission.inFlight - admission.undispatched
    return Math.max(0, this._options.loadAt(service, homes) - dispatched) + undispatched
  }
}
