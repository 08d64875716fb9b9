import { ServiceTimes } from '@mimosarock/placement/service-times.js'

/** Fraction of the mean time of a service below which a route's requests are short. */
const SHORT_FRACTION = 0.5
/** Multiple of the mean time of a service above which a route's requests are long. */
const LONG_MULTIPLE = 2

/** Mean times of one service, in all and by route. */
interface ServiceRecord {
  readonly all: ServiceTimes
  readonly byRoute: Map<string, ServiceTimes>
}

/** Mean times that the requests of each route take at the endpoints of a service. */
export class RouteTimes {
  private readonly _services = new Map<string, ServiceRecord>()

  /**
   * Records the time of a request that was served.
   * @param service name of the service
   * @param route name of the route
   * @param ms time from its admission to the end of its response, in milliseconds
   */
  record (service: string, route: string, ms: number): void {
    const { all, byRoute } = this._record(service)
    const times = byRoute.get(route) ?? new ServiceTimes()
    byRoute.set(route, times)
    times.recordServiceTime(ms)
    all.recordServiceTime(ms)
  }

  /**
   * Returns whether the requests of a route take much less time than most requests of the service.
   * @param service name of the service
   * @param route name of the route
   */
  isShort (service: string, route: string): boolean {
    const { all, byRoute } = this._record(service)
    const times = byRoute.get(route)
    return times !== undefined && times.serviceMs < all.serviceMs * SHORT_FRACTION
  }

  /**
   * Returns whether the requests of a route take much more time than most requests of the service.
   * @param service name of the service
   * @param route name of the route
   */
  isLong (service: string, route: string): boolean {
    const { all, byRoute } = this._record(service)
    const times = byRoute.get(route)
    return times !== undefined && times.serviceMs > all.serviceMs * LONG_MULTIPLE
  }

  private _record (service: string): ServiceRecord {
    let record = this._services.get(service)
    if (record === undefined) {
      record = { all: new ServiceTimes(), byRoute: new Map() }
      this._services.set(service, record)
    }
    return record
  }
}
