/** Calls between routers over JSON-RPC 2.0. */
export interface PeerMessenger {
  /**
   * Calls a method of a router.
   * @param peerAddress IP address and port of the router's JSON-RPC 2.0 server
   * @param method dotted method name
   * @param params JSON value
   * @param timeoutMs timeout of the whole call, in milliseconds
   * @returns the method's JSON result
   * @throws {MimosarockError} PEER_UNREACHABLE, PEER_TIMEOUT, or the code of the method's error
   */
  call (peerAddress: string, method: string, params: unknown, timeoutMs: number): Promise<unknown>
  /**
   * Registers the handler of a method that peers may call at this router.
   * @param method dotted method name
   * @param handler receives the params, not validated, and returns the JSON result
   */
  handle (method: string, handler: (params: unknown) => unknown | Promise<unknown>): void
}
