import type { JSONRPCErrorResponse, JSONRPCID } from 'json-rpc-2.0'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'

/**
 * Creates a JSON-RPC 2.0 error response that carries the result code as its error code.
 * @param id id of the request; null if the error belongs to no request
 * @param error the thrown value; anything but a MimosarockError becomes PEER_PROTOCOL with run state unknown
 */
export function encodePeerError (id: JSONRPCID, error: unknown): JSONRPCErrorResponse {
  const known = error instanceof MimosarockError
    ? error
    : new MimosarockError(ResultCode.PEER_PROTOCOL, String(error), { run: RunState.UNKNOWN })
  const data = { run: known.run, retryAfterMs: known.retryAfterMs, field: known.field }
  return { jsonrpc: '2.0', id, error: { code: known.code, message: known.message, data } }
}
