import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Learns of endpoints that started again or went. */
export interface EndpointListener {
  /**
   * An endpoint started again under its identity, and holds nothing of before.
   * @param entry as it is now
   */
  endpointRestarted (entry: EndpointEntry): void
  /**
   * An endpoint is gone and gets no more work; its contexts can still be copied for a moment.
   * @param entry as it was
   */
  endpointGone (entry: EndpointEntry): void
  /**
   * An endpoint that is gone can't be reached any more.
   * @param entry as it was
   */
  endpointForgotten (entry: EndpointEntry): void
}
