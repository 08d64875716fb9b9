import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Answers one request of a stand-in. A thrown error becomes a 500.
 * @param request the request, its body unread
 * @param response the answer
 */
export type StandInHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>
