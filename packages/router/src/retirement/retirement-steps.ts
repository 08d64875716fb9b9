/** Checks and operations on an endpoint from which a retirement is composed. */
export interface RetirementSteps {
  /**
   * Returns whether enough other endpoints are live for the retirement to begin.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  mayBegin (pool: string, endpoint: string): boolean
  /**
   * Returns the number of calls in flight at the endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  inFlight (pool: string, endpoint: string): number
  /**
   * Aborts the calls in flight at the endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  abortInFlight (pool: string, endpoint: string): void
  /**
   * Transfers the contexts of the endpoint to the endpoints that take over its chats.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @param signal stops the export
   * @returns number of contexts transferred
   */
  exportContext (pool: string, endpoint: string, signal: AbortSignal): Promise<number>
}
