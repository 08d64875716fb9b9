import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { EndpointSelectorOptions } from './endpoint-selector-options.js'
import { loadBound } from './load-bound.js'
import type { ServiceLoad } from './service-load.js'

/** Inputs of `ServiceLoads`. */
type Options = Pick<EndpointSelectorOptions, 'endpoints' | 'health' | 'loads' | 'loadBoundFactor' | 'permits' | 'warmUps'>

/** Mean load of each service, and the bound on the load of its endpoints. */
export class ServiceLoads {
  private readonly _options: Options

  /**
   * @param options loads and endpoints
   */
  constructor (options: Options) {
    this._options = options
  }

  /**
   * Returns the load of a service. Cold endpoints and those of evacuated zones are part of the service, whose mean the bound
   * promises; without them the others could take a multiple of it that is too high. Only endpoints that state a rate limit, or
   * fail requests, are left out, so that the others can take over their work.
   * @param service name of the service
   */
  of (service: string): ServiceLoad {
    const { endpoints, health, loadBoundFactor, permits, warmUps } = this._options
    const admitted = health.preferAdmitted(endpoints.ready(service))
    const unlimited = permits.preferUnlimited(admitted)
    // Endpoints that warm up have a rate limit, so they are left out of `unlimited` unless it has all endpoints.
    const warmingUp = unlimited === admitted ? [] : admitted.filter((endpoint) => warmUps?.limitOf(endpoint) !== undefined)
    const evacuated = endpoints.evacuated(service)
    const count = unlimited.length + warmingUp.length + evacuated.length
    const mean = (this._sumOf(unlimited) + this._sumOf(warmingUp) + this._sumOf(evacuated)) / Math.max(1, count)
    return { mean, bound: loadBound(mean, loadBoundFactor()) }
  }

  private _sumOf (endpoints: readonly EndpointEntry[]): number {
    const { loads } = this._options
    return endpoints.reduce((sum, { id }) => sum + loads.total(id), 0)
  }
}
