import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { pause } from '../membership/pause.js'
import type { GracefulShutdownOptions } from './graceful-shutdown-options.js'

/**
 * Time in which new connections may still arrive: the load balancer probes once a second and needs two failed probes
 * to stop sending traffic.
 */
const LOAD_BALANCER_NOTICE_MS = 2_600
/** Time reserved before the end of the grace period for the process to exit by itself. */
const EXIT_MARGIN_MS = 250
/** Time before the exit at which requests that are still in flight are answered that they could not be finished. */
const ANSWER_MARGIN_MS = 250
/** Interval at which idle connections are closed and the number of requests in flight is checked. */
const CHECK_INTERVAL_MS = 100

/**
 * Drains a router before it exits, without interrupting requests. Readiness probes fail at once, while new requests are
 * still served and responses carry `Connection: close`. After the load balancer has had time to stop sending traffic,
 * requests whose timeout would not fit into the rest of the grace period are rejected as not run, also those that wait for
 * capacity; those that endpoints work on are answered at the end of that time at the latest, as of unknown outcome. The process
 * exits when the last byte of the last response has been handed over, or the grace period ends.
 */
export class GracefulShutdown {
  private readonly _options: GracefulShutdownOptions
  private readonly _log: EventLog

  /**
   * @param options server, state and requests of the router
   * @param log logs each step
   */
  constructor (options: GracefulShutdownOptions, log: EventLog) {
    this._options = options
    this._log = log
  }

  /** Drains the router. Resolves when no response is left to send, or shortly before the grace period ends. */
  async run (): Promise<void> {
    const { state, graceMs, onStopDeadline } = this._options
    const startedAt = performance.now()
    state.isStopping = true
    this._log.info('stopping', { grace_ms: graceMs, in_work: state.requestsInFlight })
    await pause(Math.min(LOAD_BALANCER_NOTICE_MS, graceMs / 2))
    const end = startedAt + graceMs - EXIT_MARGIN_MS
    state.stopDeadline = end - ANSWER_MARGIN_MS
    onStopDeadline()
    this._log.info('refusing-long-requests', { in_work: state.requestsInFlight })
    await this._drain(end)
    this._log.info('stopped', { in_work: state.requestsInFlight, unsent: this._options.unsentResponses(), elapsed_ms: Math.round(performance.now() - startedAt) })
  }

  private get _isIdle (): boolean {
    const { state, unsentResponses } = this._options
    return state.requestsInFlight === 0 && unsentResponses() === 0
  }

  private async _drain (end: number): Promise<void> {
    const { server, state, unsentResponses } = this._options
    while (performance.now() < end) {
      // Also closes connections whose last response is not sent completely.
      if (unsentResponses() === 0) server.closeIdleConnections()
      if (this._isIdle) {
        // Rejects all requests from here on; one accepted while the process exits would be lost.
        state.stopDeadline = -Infinity
        await pause(CHECK_INTERVAL_MS)
        if (this._isIdle) return
      }
      await pause(CHECK_INTERVAL_MS)
    }
  }
}
