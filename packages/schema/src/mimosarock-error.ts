import type { MimosarockErrorOptions } from './mimosarock-error-options.js'
import type { ResultCode } from './result-code.js'
import { RunState } from './run-state.js'

/**
 * An error with a numbered code. Every error that leaves a process is one of these.
 *
 * @example
 * throw new MimosarockError(ResultCode.OVERLOADED, 'pool chat is full', { retryAfterMs: 500 })
 */
export class MimosarockError extends Error {
  override readonly name = 'MimosarockError'
  /** The numbered result. */
  readonly code: ResultCode
  /** Whether the call ran. */
  readonly run: RunState
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number | undefined
  /** Field, key, section or line that the error is about. */
  readonly field: string | undefined

  /**
   * @param code the numbered result
   * @param message what happened, for people
   * @param options what else is known
   */
  constructor (code: ResultCode, message: string, options: MimosarockErrorOptions = {}) {
    super(message, { cause: options.cause })
    this.code = code
    this.run = options.run ?? RunState.NOT_RUN
    this.retryAfterMs = options.retryAfterMs
    this.field = options.field
  }
}
