import { CheckpointWriter } from '@mimosarock/coordination/checkpoints/checkpoint-writer.js'
import { StreamSpreader } from '@mimosarock/coordination/spreading/stream-spreader.js'
import type { ConfigurationParts } from './configuration-parts.js'
import { MembershipFleetStatus } from '../operators/membership-fleet-status.js'
import { OperatorSide } from '../operators/operator-side.js'
import type { WireConfigurationOptions } from './wire-configuration-options.js'

/** Bytes a second that a router gives to peers that are behind; a part of the budget of control traffic. */
const SPREAD_BYTES_PER_SECOND = 1_000
const SPREAD_BURST_BYTES = 131_072
/** How long a router that a peer is ahead of waits for the log service itself. */
const SPREAD_GRACE_MS = 300
const CHECKPOINT_PART_BYTES = 4_096
/** Part of the budget of control traffic that a checkpoint may use while it is written. */
const CHECKPOINT_BYTES_PER_SECOND = 800
const RECORDS_BETWEEN_CHECKPOINTS = 20_000

/**
 * Wires operators' services, spreading and checkpoints, and reports the revision in force to the fleet.
 * @param options what they work with
 */
export function wireConfiguration (options: WireConfigurationOptions): ConfigurationParts {
  const { settings, streams, membership, messenger, clock, eventLog } = options
  const { configuration, configurationAppender: appender } = streams
  const fleetStatus = new MembershipFleetStatus(membership, options.endpoints)
  const spreader = new StreamSpreader({
    streams: [{
      replica: configuration.replica,
      mayProve: () => configuration.fold.index.revision >= fleetStatus.highestRevision
    }],
    messenger,
    clock,
    eventLog,
    bytesPerSecond: SPREAD_BYTES_PER_SECOND,
    burstBytes: SPREAD_BURST_BYTES,
    graceMs: SPREAD_GRACE_MS
  })
  membership.addExtension(spreader)
  configuration.onChange(() => membership.setRevision(configuration.current()?.revision ?? 0))
  const checkpointWriters = streams.written.map((stream) => new CheckpointWriter({
    ...stream,
    membership,
    clock,
    eventLog,
    retentionMs: settings.platform.log_retention_ms,
    maximumPartBytes: CHECKPOINT_PART_BYTES,
    bytesPerSecond: CHECKPOINT_BYTES_PER_SECOND,
    maximumRecords: RECORDS_BETWEEN_CHECKPOINTS
  }))
  const operatorSide = new OperatorSide({ settings, configuration, appender, operations: options.operations, fleetStatus, clock, eventLog })
  return { fleetStatus, operatorSide, spreader, checkpointWriters }
}
