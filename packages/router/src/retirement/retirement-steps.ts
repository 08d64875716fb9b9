/** What a retirement does at its endpoint. */
export interface RetirementSteps {
  /**
   * Whether enough other endpoints are live for the retirement to begin.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  mayBegin (pool: string, endpoint: string): boolean
  /**
   * Calls that run at the endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  inFlight (pool: string, endpoint: string): number
  /**
   * Ends the calls at the endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  endInFlight (pool: string, endpoint: string): void
  /**
   * Carries the endpoint's contexts to where their chats go from now on.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @param signal ends it
   * @returns contexts carried
   */
  exportContext (pool: string, endpoint: string, signal: AbortSignal): Promise<number>
}
