/** Calls between routers, over json-rpc-2.0. */
export interface PeerMessenger {
  /**
   * Calls a method at a router.
   * @param peerAddress IP number and port of its json-rpc-2.0 server
   * @param method dotted method name
   * @param params JSON value
   * @param timeoutMs bound on the whole call, in milliseconds
   * @returns the method's JSON result
   * @throws {MimosarockError} PEER_UNREACHABLE, PEER_TIMEOUT, or the code that the method's error carries
   */
  call (peerAddress: string, method: string, params: unknown, timeoutMs: number): Promise<unknown>
  /**
   * Registers what answers a method.
   * @param method dotted method name
   * @param handler gets the params and returns the JSON result
   */
  handle (method: string, handler: (params: unknown) => unknown | Promise<unknown>): void
}
