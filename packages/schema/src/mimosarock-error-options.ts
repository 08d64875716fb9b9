import type { RunState } from './run-state.js'

/** Options of `MimosarockError`. */
export interface MimosarockErrorOptions {
  /** Whether the call ran; default: `not-run`. */
  run?: RunState
  /** Time after which to retry, in milliseconds; omitted if a retry does not help. */
  retryAfterMs?: number
  /** Field, key, section or line to which the error applies. */
  field?: string
  /** Error that caused this one. */
  cause?: unknown
}
