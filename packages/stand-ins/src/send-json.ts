import type { ServerResponse } from 'node:http'

/**
 * Sends a complete JSON response.
 * @param response HTTP response whose headers have not been sent
 * @param status HTTP status code
 * @param body value that is serialized as JSON
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
