import { createServer, type Server } from 'node:http'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { RequestDependencies } from './request-dependencies.js'
import { RequestTask } from './request-task.js'

/** Maximum request head that the HTTP parser accepts, in bytes; the lower configured limit is checked for each request. */
const MAXIMUM_PARSED_HEADER_BYTES = 65_536
/** Interval at which connections are checked for request heads that exceed their timeout. */
const CHECK_INTERVAL_MS = 500
/** Timeouts that apply until a configuration sets others. */
const DEFAULT_HEADER_TIMEOUT_MS = 5_000
const DEFAULT_IDLE_TIMEOUT_MS = 15_000

/**
 * Creates the HTTP server for callers; it does not listen yet.
 * @param dependencies components of the router, shared by all requests
 */
export function createCallerServer (dependencies: RequestDependencies): Server {
  const server = createServer({
    maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    // Disabled because the timeout of the route limits the whole request.
    requestTimeout: 0,
    headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS
  }, (request, response) => {
    applyLimits(server, dependencies.configuration)
    // RequestTask.run() handles all expected errors; a rejection is a bug.
    new RequestTask(dependencies, request, response).run().catch((error: Error) => {
      dependencies.log.warn('request-task-failed', { problem: error.message })
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
