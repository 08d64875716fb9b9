import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationTransfer } from '@mimosarock/gateway/transfers/configuration-transfer.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import { connectLimits } from '@mimosarock/gateway/membership/connect-limits.js'
import { connectOutliers } from '@mimosarock/gateway/membership/connect-outliers.js'
import { FleetSync } from '@mimosarock/gateway/membership/fleet-sync.js'
import type { PeerCalls } from '@mimosarock/gateway/membership/peer-calls.js'
import { SyncClient } from '@mimosarock/gateway/membership/sync-client.js'
import type { TransferCall } from '@mimosarock/gateway/transfers/transfer-call.js'
import { STATED_AGE_LIMITS } from './stated-age-limits.js'
import type { ElapsedClock } from '@mimosarock/gateway/model/elapsed-clock.js'

/** How a router of a test reaches the others and the store. */
interface Surroundings extends PeerCalls {
  readonly transfer: TransferCall
  readonly isStoreFailing: boolean
}

/**
 * Creates the sync of a router, which does not run yet.
 * @param state state of the router
 * @param clock clock of the router
 * @param surroundings calls to other routers, and whether the router fails to read the store
 */
export function createSync (state: FleetState, clock: ElapsedClock, surroundings: Surroundings): FleetSync {
  const { transfer: transferCall } = surroundings
  const log = new SilentEventLog()
  const transfer = new ConfigurationTransfer(state.configuration, transferCall, clock, log)
  const client = new SyncClient(state, clock, surroundings, transfer, () => undefined)
  const sync = new FleetSync({ routers: state.routers, client, seeds: [], isStoreFailing: () => surroundings.isStoreFailing, ageLimits: () => STATED_AGE_LIMITS }, clock, log)
  transfer.listen(() => sync.syncSoon())
  connectLimits(state, sync)
  state.fairness.setFollowing(() => sync.isFollowing)
  connectOutliers(state, sync)
  return sync
}
