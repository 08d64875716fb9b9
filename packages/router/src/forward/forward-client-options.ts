import type { BoundedHttpClientOptions } from '../http/bounded-http-client-options.js'

/** Where forwards go and how long they may take. */
export interface ForwardClientOptions extends BoundedHttpClientOptions {
  /** Bound on the wait for the head of a streamed answer, which engines send at once, in milliseconds. */
  readonly headTimeoutMs: number
  /** Bound on the wait for the head of an answer, beyond the wait in the endpoint's queue, in milliseconds. */
  readonly firstByteTimeoutMs: number
  /** Bound on the wait for the owner's acknowledgement of a forward, in milliseconds. */
  readonly acknowledgeTimeoutMs: number
  /** Bound on silence within an answer, in milliseconds. */
  readonly silenceTimeoutMs: number
}
