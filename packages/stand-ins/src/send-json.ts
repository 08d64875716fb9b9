import type { ServerResponse } from 'node:http'

/**
 * Sends a JSON answer.
 * @param response the answer
 * @param status HTTP status
 * @param body JSON value
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
