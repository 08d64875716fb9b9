import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EarlyListener } from '../caller/early-listener.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { FleetStore } from '../model/fleet-store.js'
import type { WireCodec } from '../model/wire-codec.js'
import type { GatewaySettings } from '../settings/gateway-settings.js'

/** Options of a {@link Gateway}. */
export interface GatewayOptions {
  /** Settings of the process. */
  readonly settings: GatewaySettings
  /** Client of the platform's store. */
  readonly store: FleetStore
  /** Translates headers of callers and endpoints. */
  readonly codec: WireCodec
  /** Monotonic clock that also advances while the VM is suspended. */
  readonly clock: ElapsedClock
  /** Event log. */
  readonly log: EventLog
  /** Listener that already accepts connections at the callers' address; if undefined, the router listens there itself. */
  readonly earlyListener?: EarlyListener
}
