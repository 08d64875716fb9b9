import type { Server } from 'node:http'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { GatewayState } from '../model/gateway-state.js'
import { pause } from '../membership/pause.js'

/**
 * Time in which new connections may still arrive: the load balancer probes once a second and needs two failed probes
 * to stop sending traffic.
 */
const LOAD_BALANCER_NOTICE_MS = 2_600
/** Time reserved before the end of the grace period for the process to exit by itself. */
const EXIT_MARGIN_MS = 250
/** Interval at which idle connections are closed and the number of requests in flight is checked. */
const CHECK_INTERVAL_MS = 100

/**
 * Drains a router before it exits, without interrupting requests. Readiness probes fail at once, while new requests are
 * still served and responses carry `Connection: close`. After the load balancer has had time to stop sending traffic,
 * requests whose timeout would not fit into the rest of the grace period are rejected as not run.
 */
export class GracefulShutdown {
  private readonly _server: Server
  private readonly _state: GatewayState
  private readonly _graceMs: number
  private readonly _log: EventLog

  /**
   * @param server HTTP server for callers
   * @param state lifecycle state, shared with the requests; `run` sets `isStopping`, then `stopDeadline`
   * @param graceMs grace period until the process is killed, in milliseconds
   * @param log logs each step
   */
  constructor (server: Server, state: GatewayState, graceMs: number, log: EventLog) {
    this._server = server
    this._state = state
    this._graceMs = graceMs
    this._log = log
  }

  /** Drains the router. Resolves when no request is in flight, or shortly before the grace period ends. */
  async run (): Promise<void> {
    const neverAborted = new AbortController().signal
    const startedAt = performance.now()
    this._state.isStopping = true
    this._log.info('stopping', { grace_ms: this._graceMs, in_work: this._state.requestsInFlight })
    await pause(Math.min(LOAD_BALANCER_NOTICE_MS, this._graceMs / 2), neverAborted)
    const end = startedAt + this._graceMs - EXIT_MARGIN_MS
    this._state.stopDeadline = end
    this._log.info('refusing-long-requests', { in_work: this._state.requestsInFlight })
    while (performance.now() < end) {
      this._server.closeIdleConnections()
      if (this._state.requestsInFlight === 0) {
        // Rejects all requests from here on; one accepted while the process exits would be lost.
        this._state.stopDeadline = -Infinity
        await pause(CHECK_INTERVAL_MS, neverAborted)
        if (this._state.requestsInFlight === 0) break
      }
      await pause(CHECK_INTERVAL_MS, neverAborted)
    }
    this._log.info('stopped', { in_work: this._state.requestsInFlight, elapsed_ms: Math.round(performance.now() - startedAt) })
  }
}
