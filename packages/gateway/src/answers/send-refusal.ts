import type { ServerResponse } from 'node:http'
import { httpStatusOf } from '@mimosarock/schema/http-status-of.js'
import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

const MS_PER_SECOND = 1_000

/**
 * Answers a request with the router's own error (RFC 9457).
 * @param response of the caller
 * @param error what happened
 * @param closesConnection whether the caller is asked to close its connection
 * @returns the HTTP status
 */
export function sendRefusal (response: ServerResponse, error: MimosarockError, closesConnection: boolean): number {
  const status = httpStatusOf(error.code)
  const body = JSON.stringify({ type: 'about:blank', status, code: error.code, detail: error.message, run: error.run })
  const headers = ['Content-Type', 'application/problem+json', 'Content-Length', String(Buffer.byteLength(body))]
  if (error.retryAfterMs !== undefined) headers.push('Retry-After', String(error.retryAfterMs / MS_PER_SECOND))
  if (closesConnection) headers.push('Connection', 'close')
  response.writeHead(status, headers).end(body)
  return status
}
