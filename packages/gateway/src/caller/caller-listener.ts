import { createServer, type Server } from 'node:http'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { RequestParts } from './request-parts.js'
import { RequestTask } from './request-task.js'

/** Longest request head that is parsed at all, in bytes; the configured bound below it is checked for each request. */
const PARSED_HEADER_BYTES = 65_536
/** How often connections are checked for heads that take too long, in milliseconds. */
const CHECK_INTERVAL_MS = 500
/** Bounds until a configuration sets them, in milliseconds. */
const DEFAULT_HEADER_TIMEOUT_MS = 5_000
const DEFAULT_IDLE_TIMEOUT_MS = 15_000

/**
 * HTTP server for callers.
 * @param parts what requests work with
 */
export function createCallerListener (parts: RequestParts): Server {
  const server = createServer({
    maxHeaderSize: PARSED_HEADER_BYTES,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    // The route's timeout bounds a request as a whole.
    requestTimeout: 0,
    headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS
  }, (request, response) => {
    applyLimits(server, parts.configuration)
    // The task reports its own failures and never rejects.
    new RequestTask(parts, request, response).run().catch((error: Error) => {
      parts.log.warn('request-task-failed', { problem: error.message })
      response.destroy()
    })
  })
  return server
}

function applyLimits (server: Server, configuration: ConfigurationState): void {
  const limits = configuration.inForce?.configuration.limits
  if (limits === undefined) return
  server.headersTimeout = limits.headerTimeoutMs
  server.keepAliveTimeout = limits.idleTimeoutMs
}
