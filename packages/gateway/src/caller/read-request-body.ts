import type { IncomingMessage } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const NOTHING = Buffer.alloc(0)

/**
 * Reads a request's whole body.
 * @param request of the caller
 * @param maximumBytes longest body that is taken
 * @throws MimosarockError if it is longer, or the caller breaks off
 */
export function readRequestBody (request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const announced = Number(request.headers['content-length'] ?? 0)
  if (announced > maximumBytes) throw tooLarge(maximumBytes)
  if (announced === 0 && request.headers['transfer-encoding'] === undefined) return Promise.resolve(NOTHING)
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
      if (!request.complete) reject(new MimosarockError(ResultCode.CALLER_GONE, 'the caller left before its body was read'))
    })
  })
}

function tooLarge (maximumBytes: number): MimosarockError {
  return new MimosarockError(ResultCode.BODY_TOO_LARGE, `the body is longer than ${maximumBytes} bytes`)
}
