import type { IncomingMessage } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Reads a request's whole body.
 * @param request the request
 * @param maximumBytes largest body taken
 * @throws {MimosarockError} BODY_TOO_LARGE, as soon as the bound is passed; CALLER_GONE if it breaks off
 */
export async function readBody (request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const declared = Number(request.headers['content-length'] ?? 0)
  if (declared > maximumBytes) throw tooLarge(maximumBytes)
  const chunks: Buffer[] = []
  let bytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length
      if (bytes > maximumBytes) throw tooLarge(maximumBytes)
      chunks.push(chunk)
    }
  } catch (error) {
    if (error instanceof MimosarockError) throw error
    throw new MimosarockError(ResultCode.CALLER_GONE, 'the request broke off before its end', { cause: error })
  }
  return chunks.length === 1 ? chunks[0] ?? Buffer.alloc(0) : Buffer.concat(chunks, bytes)
}

function tooLarge (maximumBytes: number): MimosarockError {
  return new MimosarockError(ResultCode.BODY_TOO_LARGE, `the body is larger than ${maximumBytes} bytes`)
}
