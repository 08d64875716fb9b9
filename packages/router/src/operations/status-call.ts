/** Asks an endpoint whether a key ran. */
export interface StatusCall {
  /**
   * Asks one endpoint.
   * @param address IP number and port of the endpoint
   * @param path the route's status path with the key put in
   * @param timeoutMs bound on the whole call, in milliseconds
   * @returns how often the key ran
   * @throws {MimosarockError} ENDPOINT_FAILED if it gave no usable answer
   */
  runsAt (address: string, path: string, timeoutMs: number): Promise<number>
}
