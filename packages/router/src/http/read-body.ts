import type { IncomingMessage } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Reads the complete body of a request into memory.
 * @param request the incoming request
 * @param maximumBytes maximum size of the body, in bytes
 * @throws {MimosarockError} BODY_TOO_LARGE as soon as the limit is exceeded; CALLER_GONE if the connection is lost
 */
export async function readBody (request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > maximumBytes) throw bodyTooLargeError(maximumBytes)
  const chunks: Buffer[] = []
  let bytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (bytes > maximumBytes) throw bodyTooLargeError(maximumBytes)
      chunks.push(chunk)
    }
  } catch (error) {
    if (error instanceof MimosarockError) throw error
    throw new MimosarockError(ResultCode.CALLER_GONE, 'the connection was lost before the end of the request body', { cause: error })
  }
  return chunks.length === 1 ? chunks[0] ?? Buffer.alloc(0) : Buffer.concat(chunks, bytes)
}

function bodyTooLargeError (maximumBytes: number): MimosarockError {
  return new MimosarockError(ResultCode.BODY_TOO_LARGE, `the body is larger than ${maximumBytes} bytes`)
}
