import type { IncomingMessage, ServerResponse } from 'node:http'

const COMPLETION = JSON.stringify({
  id: 'chatcmpl-1',
  object: 'chat.completion',
  created: 0,
  model: 'm',
  choices: [{ index: 0, message: { role: 'assistant', content: 'word '.repeat(40) }, finish_reason: 'stop' }],
  usage: { prompt_tokens: 100, completion_tokens: 40, total_tokens: 140, prompt_tokens_details: { cached_tokens: 0 } }
})
const LOAD = JSON.stringify({ running: 0, waiting: 0, capacity: 4096, cached_tokens: 0, cache_limit_tokens: 0 })
const EVENTS = JSON.stringify({ oldest: 1, newest: 0, events: [] })
/** Long polls for cache events are held for this long. */
const EVENTS_WAIT_MS = 1_000

/**
 * Answers every completion at once with the same text.
 * @param request the request
 * @param response the answer
 */
export function instantHandler (request: IncomingMessage, response: ServerResponse): void {
  request.resume()
  if (request.url?.startsWith('/v1/cache-events') === true) {
    setTimeout(() => send(response, EVENTS), EVENTS_WAIT_MS)
    return
  }
  const text = request.url === '/v1/load' ? LOAD : COMPLETION
  request.on('end', () => send(response, text))
}

function send (response: ServerResponse, text: string): void {
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length })
  response.end(text)
}
