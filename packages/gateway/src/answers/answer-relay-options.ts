import type { ServerResponse } from 'node:http'

/** Who takes the answer, and how. */
export interface AnswerRelayOptions {
  /** The caller's response. */
  readonly response: ServerResponse
  /** Whether the answer is a stream of events, to be passed on as they arrive. */
  readonly isStream: boolean
  /** Whether the stream may go on at another endpoint, so that only whole events are passed on. */
  readonly isResumable: boolean
  /** Whether the caller is asked to close its connection. */
  readonly closesConnection: () => boolean
  /** Called when the first byte is written to the caller. */
  readonly started: () => void
}
