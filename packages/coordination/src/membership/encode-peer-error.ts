import type { JSONRPCErrorResponse, JSONRPCID } from 'json-rpc-2.0'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'

/**
 * Puts an error into a json-rpc-2.0 answer, with its result code as the error's code.
 * @param id id of the call
 * @param error what the method threw; anything but a MimosarockError becomes PEER_PROTOCOL, run state unknown
 */
export function encodePeerError (id: JSONRPCID, error: unknown): JSONRPCErrorResponse {
  const known = error instanceof MimosarockError
    ? error
    : new MimosarockError(ResultCode.PEER_PROTOCOL, String(error), { run: RunState.UNKNOWN })
  const data = { run: known.run, retryAfterMs: known.retryAfterMs, field: known.field }
  return { jsonrpc: '2.0', id, error: { code: known.code, message: known.message, data } }
}
