import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { WarmUpTable } from './warm-up-table.js'

/** Divides the candidates for a request by whether they are cold. */
export class ColdPreference {
  private readonly _warmUps: Pick<WarmUpTable, 'isCold'> | undefined

  /**
   * @param warmUps cold endpoints; undefined if there are none
   */
  constructor (warmUps: Pick<WarmUpTable, 'isCold'> | undefined) {
    this._warmUps = warmUps
  }

  /**
   * Returns the endpoints that a request should go to. One that needs a warm endpoint gets one while any has capacity. Others go to
   * cold endpoints, which need requests to return to their share, while permits for them are available. Cold endpoints are slow, so requests pile
   * up at them; they are preferred only while they have less than the mean in flight.
   * @param candidates endpoints that the request may go to, cold ones only with a permit
   * @param needsWarm whether the request is urgent, may run at most once or takes long
   * @param hasCapacity returns whether an endpoint has capacity
   * @param isBelowMean returns whether an endpoint has less in flight than the mean of its service
   * @returns cold candidates, the warm ones, or all candidates
   */
  apply (
    candidates: readonly EndpointEntry[], needsWarm: boolean, hasCapacity: (endpoint: EndpointEntry) => boolean, isBelowMean: (endpoint: EndpointEntry) => boolean
  ): readonly EndpointEntry[] {
    const isCold = (endpoint: EndpointEntry): boolean => this._warmUps?.isCold(endpoint) === true
    if (!candidates.some(isCold)) return candidates
    const preferred = needsWarm ? [] : candidates.filter((endpoint) => isCold(endpoint) && hasCapacity(endpoint) && isBelowMean(endpoint))
    if (preferred.length > 0) return preferred
    const warm = candidates.filter((endpoint) => !isCold(endpoint))
    return warm.some(hasCapacity) ? warm : candidates
  }
}
