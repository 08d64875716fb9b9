import type { Exchange } from './exchange.js'

/** Answers the requests of one kind. */
export interface ExchangeHandler {
  /**
   * Answers the request, or throws before the head of the answer was written.
   * @param exchange the request and the answer to it
   * @throws {MimosarockError} becomes a problem+json refusal
   */
  handle (exchange: Exchange): Promise<void>
}
