import type { Server } from 'node:http'
import type { GatewayState } from '../model/gateway-state.js'

/** Options of `GracefulShutdown`. */
export interface GracefulShutdownOptions {
  /** HTTP server for callers. */
  readonly server: Server
  /** Lifecycle state, shared with the requests; the shutdown sets `isStopping`, then `stopDeadline`. */
  readonly state: GatewayState
  /** Grace period until the process is killed, in milliseconds. */
  readonly graceMs: number
  /** Called when `stopDeadline` has been set, so that requests that were accepted before adapt to it. */
  readonly onStopDeadline: () => void
  /** Returns the number of responses that have not been sent completely, although their requests have ended. */
  readonly unsentResponses: () => number
}
