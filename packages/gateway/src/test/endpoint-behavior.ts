import type { IncomingMessage, ServerResponse } from 'node:http'

/** Handles a request in place of an endpoint. */
export type EndpointBehavior = (request: IncomingMessage, response: ServerResponse, body: string) => void
