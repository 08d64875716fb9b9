import { ServiceAdmission } from './service-admission.js'
import type { ServiceAdmissionsOptions } from './service-admissions-options.js'

/** Admission control of all services, each with its own limit, all together within the concurrency limit of the process. */
export class ServiceAdmissions {
  private readonly _options: ServiceAdmissionsOptions
  private readonly _services = new Map<string, ServiceAdmission>()

  /**
   * @param options settings and dependencies
   */
  constructor (options: ServiceAdmissionsOptions) {
    this._options = options
  }

  /**
   * Returns the admission control of a service and creates it on first use.
   * @param service name of the service
   */
  get (service: string): ServiceAdmission {
    let admission = this._services.get(service)
    if (admission === undefined) {
      const { clock, random, rateLimitOf } = this._options
      admission = new ServiceAdmission({ service, clock, random, limit: () => this._limit(service), rateLimit: rateLimitOf(service) })
      this._services.set(service, admission)
    }
    return admission
  }

  /** Admits queued requests of all services up to the current limits; call it when limits may have grown. */
  admitQueued (): void {
    for (const admission of this._services.values()) admission.admitQueued()
  }

  /** Whether one more request would exceed the concurrency limit of the process. */
  get isProcessFull (): boolean {
    let inFlight = 0
    for (const admission of this._services.values()) inFlight += admission.inFlight
    return inFlight + 1 > this._options.processLimit()
  }

  private _limit (service: string): number {
    let otherServicesInFlight = 0
    for (const [name, admission] of this._services) if (name !== service) otherServicesInFlight += admission.inFlight
    return Math.min(this._options.limitOf(service), this._options.processLimit() - otherServicesInFlight)
  }
}
