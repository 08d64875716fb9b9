import type { IncomingMessage } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const EMPTY = Buffer.alloc(0)

/**
 * Reads the whole body of a request into memory.
 * @param request request of the caller
 * @param maximumBytes maximum length of the body, in bytes
 * @throws MimosarockError if the body is longer, or the caller disconnects before its end
 */
export function readRequestBody (request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const contentLength = Number(request.headers['content-length'] ?? 0)
  if (contentLength > maximumBytes) throw tooLarge(maximumBytes)
  if (contentLength === 0 && request.headers['transfer-encoding'] === undefined) return Promise.resolve(EMPTY)
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let length = 0
    request.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length > maximumBytes) reject(tooLarge(maximumBytes))
      else chunks.push(chunk)
    })
    request.on('end', () => resolve(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks)))
    request.on('close', () => {
      if (!request.complete) reject(new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected before the request body was complete'))
    })
  })
}

function tooLarge (maximumBytes: number): MimosarockError {
  return new MimosarockError(ResultCode.BODY_TOO_LARGE, `the request body exceeds ${maximumBytes} bytes`)
}
