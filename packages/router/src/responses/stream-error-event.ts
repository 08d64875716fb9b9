import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

/**
 * Returns the last event of a stream that can't be completed; it is sent instead of `data: [DONE]`.
 * @param error reported to the caller
 * @param requestId id under which the request is logged
 */
export function streamErrorEvent (error: MimosarockError, requestId: string): Buffer {
  const body = { error: { message: error.message, type: 'mimosarock_error', code: error.code, run: error.run, request_id: requestId } }
  return Buffer.from(`event: error\ndata: ${JSON.stringify(body)}\n\n`)
}
