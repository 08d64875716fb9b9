import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Learns of endpoints that came, changed or went. */
export interface EndpointListener {
  /**
   * An endpoint came, or its entry changed.
   * @param entry as it is now
   * @param previous as it was; undefined for a new one or a new incarnation
   */
  endpointChanged (entry: EndpointEntry, previous: EndpointEntry | undefined): void
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
