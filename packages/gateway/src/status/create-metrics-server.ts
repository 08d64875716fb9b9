import { createServer, type Server } from 'node:http'
import type { GatewayState } from '../model/gateway-state.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { GatewayMetrics } from './gateway-metrics.js'

const OK = 200
const FAILED = 500
const MS_PER_SECOND = 1_000

/**
 * HTTP server that answers with the metrics as text.
 * @param metrics the counters
 * @param configuration told with them
 * @param state told with them
 */
export function createMetricsServer (metrics: GatewayMetrics, configuration: ConfigurationState, state: GatewayState): Server {
  return createServer((_request, response) => {
    metrics.configurationVersion.set(configuration.version)
    metrics.configurationAgeSeconds.set(configuration.ageMs / MS_PER_SECOND)
    metrics.requestsInWork.set(state.requestsInWork)
    metrics.registry.metrics().then(
      (text) => response.writeHead(OK, { 'content-type': metrics.registry.contentType }).end(text),
      (error: Error) => response.writeHead(FAILED).end(error.message)
    )
  })
}
