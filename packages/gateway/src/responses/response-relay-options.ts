import type { ServerResponse } from 'node:http'

/** Options of a {@link ResponseRelay}. */
export interface ResponseRelayOptions {
  /** Response to the caller. */
  readonly response: ServerResponse
  /** Whether the response is an event stream, which is forwarded as it arrives instead of being buffered. */
  readonly isStream: boolean
  /** Whether a broken stream may be resumed at another endpoint; only complete events are then forwarded. */
  readonly isResumable: boolean
  /** Returns whether to send `Connection: close` to the caller. */
  readonly closesConnection: () => boolean
  /** Called when the response head is written to the caller. */
  readonly onStart: () => void
}
