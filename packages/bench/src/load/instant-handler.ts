import type { IncomingMessage, ServerResponse } from 'node:http'

const TOKENS = 8
const CHUNK_HEAD = '{"id":"chatcmpl-1","object":"chat.completion.chunk","created":0,"model":"m","choices":'
const STREAM = [
  ...Array.from({ length: TOKENS }, (_, index) => `${CHUNK_HEAD}[{"index":0,"delta":{"content":" word${index}"},"finish_reason":null}]}`),
  `${CHUNK_HEAD}[{"index":0,"delta":{},"finish_reason":"stop"}]}`,
  '[DONE]'
].map((data, id) => `id: ${id}\ndata: ${data}\n\n`).join('')
const LOAD = JSON.stringify({ running: 0, waiting: 0, capacity: 4096, cached_tokens: 0, cache_limit_tokens: 0 })
const EVENTS = JSON.stringify({ oldest: 1, newest: 0, events: [] })
/** Time after which a long poll for cache events receives an empty response. */
const EVENTS_LONG_POLL_MS = 1_000

/**
 * Reports no load and no cache events, and responds to every other request, probes included, immediately with the same
 * short stream.
 * @param request request of the router
 * @param response response to write to
 */
export function instantHandler (request: IncomingMessage, response: ServerResponse): void {
  request.resume()
  request.on('end', () => {
    if (request.url?.startsWith('/v1/cache-events') === true) setTimeout(() => send(response, 'application/json', EVENTS), EVENTS_LONG_POLL_MS)
    else if (request.url === '/v1/load') send(response, 'application/json', LOAD)
    else send(response, 'text/event-stream', STREAM)
  })
}

function send (response: ServerResponse, type: string, text: string): void {
  response.writeHead(200, { 'content-type': type, 'content-length': text.length })
  response.end(text)
}
