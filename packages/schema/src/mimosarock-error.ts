import type { MimosarockErrorOptions } from './mimosarock-error-options.js'
import type { ResultCode } from './result-code.js'
import { RunState } from './run-state.js'

/**
 * Error with a numbered result code. Every error that a process reports to its callers, operators or peers has one.
 *
 * @example
 * throw new MimosarockError(ResultCode.OVERLOADED, 'pool chat is full', { retryAfterMs: 500 })
 */
export class MimosarockError extends Error {
  override readonly name = 'MimosarockError'
  /** Result code. */
  readonly code: ResultCode
  /** Whether the call ran at an endpoint. */
  readonly run: RunState
  /** Time after which to retry, in milliseconds; undefined if a retry does not help. */
  readonly retryAfterMs: number | undefined
  /** Field, key, section or line to which the error applies. */
  readonly field: string | undefined

  /**
   * @param code result code
   * @param message human-readable description of the error
   * @param options run state, retry delay and other details
   */
  constructor (code: ResultCode, message: string, options: MimosarockErrorOptions = {}) {
    super(message, { cause: options.cause })
    this.code = code
    this.run = options.run ?? RunState.NOT_RUN
    this.retryAfterMs = options.retryAfterMs
    this.field = options.field
  }
}
