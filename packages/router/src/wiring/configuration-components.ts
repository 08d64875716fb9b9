import type { CheckpointWriter } from '@mimosarock/coordination/checkpoints/checkpoint-writer.js'
import type { PeerCatchUp } from '@mimosarock/coordination/catch-up/peer-catch-up.js'
import type { MembershipFleetStatus } from '../operators/membership-fleet-status.js'
import type { OperatorServices } from '../operators/operator-services.js'

/** Components of a router that distribute the configuration, write checkpoints and serve operators. */
export interface ConfigurationComponents {
  readonly fleetStatus: MembershipFleetStatus
  readonly operatorServices: OperatorServices
  readonly peerCatchUp: PeerCatchUp
  readonly checkpointWriters: readonly CheckpointWriter[]
}
