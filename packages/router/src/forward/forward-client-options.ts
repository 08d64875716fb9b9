import type { BoundedHttpClientOptions } from '../http/bounded-http-client-options.js'

/** Address of the owner and timeouts of forwarded calls. */
export interface ForwardClientOptions extends BoundedHttpClientOptions {
  /**
   * Timeout of the owner for the head of a streamed response, which engines send immediately, in milliseconds. The
   * router that forwards the call waits for twice this time, in addition to the wait in the endpoint's queue.
   */
  readonly headTimeoutMs: number
  /** Timeout for the head of any other response, in addition to the wait in the endpoint's queue, in milliseconds. */
  readonly firstByteTimeoutMs: number
  /** Timeout for the owner's acknowledgement of a forwarded call, in milliseconds. */
  readonly acknowledgeTimeoutMs: number
  /** Timeout between two chunks of a response, in milliseconds. */
  readonly silenceTimeoutMs: number
}
