import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Receives events about restarted and removed endpoints. */
export interface EndpointListener {
  /**
   * Called when an endpoint has restarted under the same id. Its cached contexts are lost.
   * @param entry entry of the new incarnation
   */
  endpointRestarted (entry: EndpointEntry): void
  /**
   * Called when an endpoint was removed and receives no new requests. Its contexts can still be copied for a short
   * time.
   * @param entry last entry of the endpoint
   */
  endpointRemoved (entry: EndpointEntry): void
  /**
   * Called when the contexts of a removed endpoint can no longer be copied.
   * @param entry last entry of the endpoint
   */
  endpointExpired (entry: EndpointEntry): void
}
