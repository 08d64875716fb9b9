import type { IncomingMessage } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { HeldConnection } from '../memory/held-connection.js'
import { notRunError } from './not-run-error.js'

const EMPTY = Buffer.alloc(0)

/** Bound on the memory for the bodies of all requests, as far as one body is concerned. */
type BodyMemory = Pick<HeldConnection, 'holdBody' | 'onBodyRefused' | 'completeBody'>

/**
 * Reads the whole body of a request into memory.
 * @param request request of the caller
 * @param maximumBytes maximum length of the body, in bytes
 * @param memory holds the parts of the body
 * @throws MimosarockError if the body is longer, there is no memory for it, or the caller disconnects before its end
 */
export function readRequestBody (request: IncomingMessage, maximumBytes: number, memory: BodyMemory): Promise<Buffer> {
  const contentLength = Number(request.headers['content-length'] ?? 0)
  if (contentLength > maximumBytes) throw tooLarge(maximumBytes)
  if (contentLength === 0 && request.headers['transfer-encoding'] === undefined) return Promise.resolve(EMPTY)
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let length = 0
    let isRefused = false
    const refuse = (error: MimosarockError): void => {
      isRefused = true
      chunks.length = 0
      reject(error)
    }
    memory.onBodyRefused(() => refuse(noMemory()))
    request.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (isRefused) return
      if (length > maximumBytes) refuse(tooLarge(maximumBytes))
      else if (!memory.holdBody(chunk.length)) refuse(noMemory())
      else chunks.push(chunk)
    })
    request.on('end', () => {
      memory.completeBody()
      resolve(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))
    })
    request.on('close', () => {
      if (!request.complete) reject(new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected before the request body was complete'))
    })
  })
}

function noMemory (): MimosarockError {
  return notRunError(ResultCode.OVERLOADED, 'the router has no memory for the request body')
}

function tooLarge (maximumBytes: number): MimosarockError {
  return new MimosarockError(ResultCode.BODY_TOO_LARGE, `the request body exceeds ${maximumBytes} bytes`)
}
