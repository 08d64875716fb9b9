import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { MimosarockErrorOptions } from '@mimosarock/schema/mimosarock-error-options.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'

const CODES: ReadonlySet<number> = new Set(Object.values(ResultCode))

/**
 * Reads the error of a json-rpc-2.0 answer.
 * @param error the answer's `error` member
 * @returns an error with the peer's code; PEER_PROTOCOL if the code is none of ours
 */
export function decodePeerError (error: { code: number, message: string, data?: unknown }): MimosarockError {
  const data = (error.data ?? {}) as MimosarockErrorOptions
  if (!CODES.has(error.code)) {
    return new MimosarockError(ResultCode.PEER_PROTOCOL, error.message, { run: RunState.UNKNOWN })
  }
  return new MimosarockError(error.code as ResultCode, error.message, data)
}
