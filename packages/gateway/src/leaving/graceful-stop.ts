import type { Server } from 'node:http'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { GatewayState } from '../model/gateway-state.js'
import { pause } from '../membership/pause.js'

/** The load balancer asks once a second and needs two refusals; new connections may come for so long. */
const BALANCER_NOTICE_MS = 2_600
/** Time before the end of the grace in which the process ends by itself. */
const END_MARGIN_MS = 250
/** How often idle connections are closed and the rest of the work is looked at. */
const CHECK_INTERVAL_MS = 100

/**
 * Stops a router without breaking a request off: it says that it is not ready, goes on serving what still arrives,
 * asks callers to close their connections with each answer, and once the load balancer has had time to turn away
 * refuses, as not run, those requests whose time would not fit into what is left of the grace.
 */
export class GracefulStop {
  private readonly _server: Server
  private readonly _state: GatewayState
  private readonly _graceMs: number
  private readonly _log: EventLog

  /**
   * @param server takes callers' connections
   * @param state shared with the requests
   * @param graceMs time until the process is killed, in milliseconds
   * @param log takes a line at each step
   */
  constructor (server: Server, state: GatewayState, graceMs: number, log: EventLog) {
    this._server = server
    this._state = state
    this._graceMs = graceMs
    this._log = log
  }

  /** Resolves when nothing is left to do, or the grace is over. */
  async run (): Promise<void> {
    const never = new AbortController().signal
    const startedAt = performance.now()
    this._state.isStopping = true
    this._log.info('stopping', { grace_ms: this._graceMs, in_work: this._state.requestsInWork })
    await pause(Math.min(BALANCER_NOTICE_MS, this._graceMs / 2), never)
    const end = startedAt + this._graceMs - END_MARGIN_MS
    this._state.endsAt = end
    this._log.info('refusing-long-requests', { in_work: this._state.requestsInWork })
    while (performance.now() < end) {
      this._server.closeIdleConnections()
      if (this._state.requestsInWork === 0) {
        // From here on everything is refused, so that nothing is taken while the process ends.
        this._state.endsAt = -Infinity
        await pause(CHECK_INTERVAL_MS, never)
        if (this._state.requestsInWork === 0) break
      }
      await pause(CHECK_INTERVAL_MS, never)
    }
    this._log.info('stopped', { in_work: this._state.requestsInWork, elapsed_ms: Math.round(performance.now() - startedAt) })
  }
}
