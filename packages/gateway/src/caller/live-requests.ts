import type { LiveRequest } from './live-request.js'

/** All requests of callers that have not been answered. */
export class LiveRequests {
  private readonly _requests = new Set<LiveRequest>()

  /**
   * Adds a request that has arrived.
   * @param request the request
   */
  add (request: LiveRequest): void {
    this._requests.add(request)
  }

  /**
   * Removes a request that has been answered, or whose caller has left.
   * @param request the request
   */
  delete (request: LiveRequest): void {
    this._requests.delete(request)
  }

  /** Adapts all requests to the time at which the stopping router must have answered them. */
  limitToStop (): void {
    for (const request of [...this._requests]) request.limitToStop()
  }
}
