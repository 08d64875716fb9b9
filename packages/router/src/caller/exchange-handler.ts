import type { Exchange } from './exchange.js'

/** Handles requests to one group of paths. */
export interface ExchangeHandler {
  /**
   * Responds to the request.
   * @param exchange the request and its response
   * @throws {MimosarockError} sent to the caller as a problem+json response if the response head has not been written
   * yet, otherwise the connection is closed
   */
  handle (exchange: Exchange): Promise<void>
}
