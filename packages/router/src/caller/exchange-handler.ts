import type { Exchange } from './exchange.js'

/** Handles requests to one group of paths. */
export interface ExchangeHandler {
  /**
   * Responds to the request, or throws before the response head has been written.
   * @param exchange the request and its response
   * @throws {MimosarockError} sent to the caller as a problem+json response
   */
  handle (exchange: Exchange): Promise<void>
}
