/** Client that reads from an endpoint how often the call with an Idempotency-Key has run. */
export interface StatusCall {
  /**
   * Reads from one endpoint how often the call with the key in `path` has run.
   * @param address IP address and port of the endpoint
   * @param path the route's status path with the key inserted
   * @param timeoutMs timeout for the whole call, in milliseconds
   * @returns number of runs
   * @throws {MimosarockError} ENDPOINT_FAILED if the endpoint sent no valid response
   */
  readRunCount (address: string, path: string, timeoutMs: number): Promise<number>
}
