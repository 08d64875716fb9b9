import type { ServerResponse } from 'node:http'
import { httpStatusOf } from '@mimosarock/schema/http-status-of.js'
import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

const MS_PER_SECOND = 1_000

/**
 * Sends an error of the router itself as a problem details response (RFC 9457).
 * @param response response to the caller
 * @param error error to report
 * @param closesConnection whether to send `Connection: close`
 * @returns the HTTP status that was sent
 */
export function sendErrorResponse (response: ServerResponse, error: MimosarockError, closesConnection: boolean): number {
  const status = httpStatusOf(error.code)
  const body = JSON.stringify({ type: 'about:blank', status, code: error.code, detail: error.message, run: error.run })
  const headers = ['Content-Type', 'application/problem+json', 'Content-Length', String(Buffer.byteLength(body))]
  if (error.retryAfterMs !== undefined) headers.push('Retry-After', String(error.retryAfterMs / MS_PER_SECOND))
  if (closesConnection) headers.push('Connection', 'close')
  response.writeHead(status, headers).end(body)
  return status
}
