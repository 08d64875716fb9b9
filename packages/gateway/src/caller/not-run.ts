import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'

/** Milliseconds after which a refused caller should come back, where nothing better is known. */
const DEFAULT_RETRY_AFTER_MS = 250

/**
 * An error that ends a request which has not run.
 * @param code the numbered result
 * @param message what happened
 * @param retryAfterMs when to come back, in milliseconds
 */
export function notRun (code: ResultCode, message: string, retryAfterMs = DEFAULT_RETRY_AFTER_MS): MimosarockError {
  return new MimosarockError(code, message, { run: RunState.NOT_RUN, retryAfterMs })
}
