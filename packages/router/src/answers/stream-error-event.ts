import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

/**
 * The last event of a stream that can't be completed. It takes the place of `data: [DONE]`.
 * @param error what broke the stream
 * @param requestId names the request
 */
export function streamErrorEvent (error: MimosarockError, requestId: string): Buffer {
  const body = { error: { message: error.message, type: 'mimosarock_error', code: error.code, run: error.run, request_id: requestId } }
  return Buffer.from(`event: error\ndata: ${JSON.stringify(body)}\n\n`)
}
