import type { IncomingMessage, ServerResponse } from 'node:http'

/** What an endpoint does with a request. */
export type EndpointBehaviour = (request: IncomingMessage, response: ServerResponse, body: string) => void
