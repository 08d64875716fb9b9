import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { FleetState } from '../membership/fleet-state.js'
import type { PeerRpcClient } from '../membership/peer-rpc-client.js'
import type { PropagationBounds } from '../membership/propagation-bounds.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { FleetStore } from '../model/fleet-store.js'

/** Options of {@link FleetTasks}. */
export interface FleetTasksOptions {
  /** State that the tasks keep up to date. */
  readonly state: FleetState
  /** Client of the platform's store. */
  readonly store: FleetStore
  /** Calls to other routers. */
  readonly peerClient: Pick<PeerRpcClient, 'sync' | 'configurationNews' | 'configurationUpdate'>
  /** Addresses of routers that are asked first, host:port. */
  readonly seeds: readonly string[]
  /** Returns the bounds within which this router has to know changes. */
  readonly propagationBounds: () => PropagationBounds
  /** Monotonic clock that also advances while the VM is suspended. */
  readonly clock: ElapsedClock
  /** Event log. */
  readonly log: EventLog
  /** Called when the state may have changed, from the store or from another router. */
  readonly onProgress: () => void
}
