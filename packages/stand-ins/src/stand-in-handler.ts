import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Handles a request to a stand-in. An error thrown before the headers are sent becomes a response with status 500, a
 * later one closes the connection.
 * @param request HTTP request whose body has not been read
 * @param response HTTP response
 */
export type StandInHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>
