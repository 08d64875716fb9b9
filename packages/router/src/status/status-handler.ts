import type { Exchange } from '../caller/exchange.js'
import type { ExchangeHandler } from '../caller/exchange-handler.js'
import type { Readiness } from './readiness.js'
import type { RouterMetrics } from './router-metrics.js'

/** Handles the requests of load balancers and metrics scrapers: `/livez`, `/readyz` and `/metrics`. */
export class StatusHandler implements ExchangeHandler {
  private readonly _readiness: Readiness
  private readonly _metrics: RouterMetrics

  /**
   * @param readiness readiness of the router to receive calls
   * @param metrics metrics that `/metrics` returns
   */
  constructor (readiness: Readiness, metrics: RouterMetrics) {
    this._readiness = readiness
    this._metrics = metrics
  }

  /**
   * Responds to the request.
   * @param exchange the request and its response
   */
  async handle (exchange: Exchange): Promise<void> {
    const { request, response } = exchange
    if (request.url?.startsWith('/metrics') === true) {
      response.writeHead(200, { 'content-type': this._metrics.registry.contentType })
      response.end(await this._metrics.registry.metrics())
      return
    }
    const reason = request.url?.startsWith('/readyz') === true ? this._readiness.reasonNotReady() : undefined
    response.writeHead(reason === undefined ? 200 : 503, { 'content-type': 'text/plain' })
    response.end(reason ?? 'ok')
  }
}
