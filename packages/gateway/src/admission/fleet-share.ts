import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { FleetShareOptions } from './fleet-share-options.js'

/** Requests beside those in the slots of an endpoint, so that it has its next one at hand. */
const REQUESTS_AT_HAND = 1
/** Multiple of an equal part of the room that a router may take beside that part while all is free: few routers surge at once. */
const FREE_MULTIPLE = 4
/** Requests that each router may have while there is room, however small its part: callers send a few at a time. */
const LEAST_WITH_ROOM = 3
/** Multiple of an equal part that each router may have where that is less than some requests; the rest waits at the endpoints. */
const SMALL_PART_MULTIPLE = 2

/** What was so when the last report of loads came. */
interface AtReport {
  readonly reports: number
  readonly own: number
  readonly foreign: number
  /** Decides on the fraction of a request that the limit has beyond a whole number. */
  readonly chance: number
}

/**
 * How many requests this router may have in flight at a service, so that the fleet as a whole stays within the
 * service's slots although each router knows the others' requests late. Beyond what it had when it last heard of the
 * others, a router takes an equal part of the room that was left then, or some times that while much is free; never less
 * in all than an equal part of the service, and a request or some where that part is less than one. A fraction is taken
 * by chance, drawn anew with each report.
 */
export class FleetShare {
  private readonly _options: FleetShareOptions
  private readonly _atReport = new Map<string, AtReport>()

  /**
   * @param options the parts
   */
  constructor (options: FleetShareOptions) {
    this._options = options
  }

  /**
   * Requests that this router may have in flight; without a bound where no endpoint is known, since none can be
   * overloaded then.
   * @param service name of the service
   */
  limit (service: string): number {
    const routers = Math.max(1, this._options.routers())
    const endpoints = this._options.available(service)
    if (endpoints.length === 0) return Infinity
    const capacity = endpoints.reduce((sum, endpoint) => sum + endpoint.slots + REQUESTS_AT_HAND, 0)
    const { own, foreign, chance } = this._lastReport(service, endpoints)
    const total = own + foreign
    const part = partOfRoom(capacity - total, capacity, routers, own / Math.max(1, total))
    const least = total < capacity ? LEAST_WITH_ROOM : 0
    return Math.max(least, Math.floor(smallPart(capacity / routers) + chance), Math.floor(own + part + chance))
  }

  private _lastReport (service: string, endpoints: readonly EndpointEntry[]): AtReport {
    const { loads } = this._options
    const held = this._atReport.get(service)
    if (held?.reports === loads.reports) return held
    const own = sumOf(endpoints, (id) => loads.ownOf(id))
    const report = { reports: loads.reports, own, foreign: sumOf(endpoints, (id) => loads.total(id)) - own, chance: this._options.random() }
    this._atReport.set(service, report)
    return report
  }
}

// What one router may take of the room; if there is less than none, what it must give back, by what it holds.
function partOfRoom (room: number, capacity: number, routers: number, heldShare: number): number {
  if (room <= 0) return room * heldShare
  return room * Math.min(1, (1 + FREE_MULTIPLE * room / capacity) / routers)
}

// What a router may always have. In a fleet of more routers than slots an equal part is less than one request; twice
// that keeps the service busy although most routers have none in flight.
function smallPart (equalPart: number): number {
  return equalPart >= LEAST_WITH_ROOM ? Math.floor(equalPart) : equalPart * SMALL_PART_MULTIPLE
}

function sumOf (endpoints: readonly EndpointEntry[], count: (id: string) => number): number {
  return endpoints.reduce((sum, endpoint) => sum + count(endpoint.id), 0)
}
