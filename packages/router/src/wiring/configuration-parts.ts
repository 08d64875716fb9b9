import type { CheckpointWriter } from '@mimosarock/coordination/checkpoints/checkpoint-writer.js'
import type { StreamSpreader } from '@mimosarock/coordination/spreading/stream-spreader.js'
import type { MembershipFleetStatus } from '../operators/membership-fleet-status.js'
import type { OperatorSide } from '../operators/operator-side.js'

/** The parts of a router that keep the configuration in force and serve operators. */
export interface ConfigurationParts {
  readonly fleetStatus: MembershipFleetStatus
  readonly operatorSide: OperatorSide
  readonly spreader: StreamSpreader
  readonly checkpointWriters: readonly CheckpointWriter[]
}
