import type { RunState } from './run-state.js'

/** What an error tells besides its code and message. */
export interface MimosarockErrorOptions {
  /** Whether the call ran; `not-run` unless given. */
  run?: RunState
  /** When to come back, in milliseconds; left out where coming back does not help. */
  retryAfterMs?: number
  /** Field, key, section or line that the error is about. */
  field?: string
  /** The error that led to this one. */
  cause?: unknown
}
