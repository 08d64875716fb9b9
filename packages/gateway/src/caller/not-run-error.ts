import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'

/** Retry delay for rejected callers if there is no better estimate. */
const DEFAULT_RETRY_AFTER_MS = 250

/**
 * Creates an error that states that the request did not run and is safe to retry.
 * @param code result code
 * @param message cause of the rejection
 * @param retryAfterMs delay after which the caller should retry, in milliseconds
 */
export function notRunError (code: ResultCode, message: string, retryAfterMs = DEFAULT_RETRY_AFTER_MS): MimosarockError {
  return new MimosarockError(code, message, { run: RunState.NOT_RUN, retryAfterMs })
}
