import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EarlyListener } from '../caller/early-listener.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { FleetStore } from '../model/fleet-store.js'
import type { WireCodec } from '../model/wire-codec.js'
import type { GatewaySettings } from '../settings/gateway-settings.js'

/** What a router is made of. */
export interface GatewayOptions {
  /** Settings of the process. */
  readonly settings: GatewaySettings
  /** The platform's store. */
  readonly store: FleetStore
  /** Reads and writes headers. */
  readonly codec: WireCodec
  /** Time, suspensions counted. */
  readonly clock: ElapsedClock
  /** Takes the log lines. */
  readonly log: EventLog
  /** Holds the callers' address already; undefined if the router is to listen there itself. */
  readonly earlyListener?: EarlyListener
}
