import type { IncomingMessage } from 'node:http'
import { ByteBuffer } from '@mimosarock/coordination/http/byte-buffer.js'
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
  const received = new ByteBuffer()
  try {
    for await (const part of request as AsyncIterable<Buffer>) {
      if (received.length + part.length > maximumBytes) throw bodyTooLargeError(maximumBytes)
      received.append(part)
    }
  } catch (error) {
    if (error instanceof MimosarockError) throw error
    throw new MimosarockError(ResultCode.CALLER_GONE, 'the connection was lost before the end of the request body', { cause: error })
  }
  return received.take()
}

function bodyTooLargeError (maximumBytes: number): MimosarockError {
  return new MimosarockError(ResultCode.BODY_TOO_LARGE, `the body is larger than ${maximumBytes} bytes`)
}
