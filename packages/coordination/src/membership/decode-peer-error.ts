import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { MimosarockErrorOptions } from '@mimosarock/schema/mimosarock-error-options.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'

const CODES: ReadonlySet<number> = new Set(Object.values(ResultCode))

/**
 * Converts the error of a JSON-RPC 2.0 response to a MimosarockError.
 * @param error the `error` member of the response
 * @returns an error with the peer's code, or with PEER_PROTOCOL and run state unknown if this router does not know the code
 */
export function decodePeerError (error: { code: number, message: string, data?: unknown }): MimosarockError {
  const data = (error.data ?? {}) as MimosarockErrorOptions
  if (!CODES.has(error.code)) {
    return new MimosarockError(ResultCode.PEER_PROTOCOL, error.message, { run: RunState.UNKNOWN })
  }
  return new MimosarockError(error.code as ResultCode, error.message, data)
}
