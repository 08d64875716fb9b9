import { CheckpointWriter } from '@mimosarock/coordination/checkpoints/checkpoint-writer.js'
import { PeerCatchUp } from '@mimosarock/coordination/catch-up/peer-catch-up.js'
import type { ConfigurationComponents } from './configuration-components.js'
import { MembershipFleetStatus } from '../operators/membership-fleet-status.js'
import { OperatorServices } from '../operators/operator-services.js'
import type { WireConfigurationOptions } from './wire-configuration-options.js'

/** Rate at which a router sends records to peers that lag behind; part of the control traffic budget. */
const CATCH_UP_BYTES_PER_SECOND = 1_000
const CATCH_UP_BURST_BYTES = 131_072
/** Time for which a router that lags behind a peer waits for the log service before it pulls from the peer. */
const CATCH_UP_GRACE_MS = 300
const CHECKPOINT_PART_BYTES = 4_096
/** Rate at which a checkpoint is written; part of the control traffic budget. */
const CHECKPOINT_BYTES_PER_SECOND = 800
const RECORDS_BETWEEN_CHECKPOINTS = 20_000

/**
 * Creates the operators' interface, the peer catch-up of the configuration stream and the checkpoint writers, and reports
 * the revision in force to the fleet.
 * @param options components and settings that they depend on
 */
export function wireConfiguration (options: WireConfigurationOptions): ConfigurationComponents {
  const { settings, streams, membership, messenger, clock, eventLog } = options
  const { configuration, configurationAppender: appender } = streams
  const fleetStatus = new MembershipFleetStatus(membership, options.endpoints)
  const peerCatchUp = new PeerCatchUp({
    streams: [{
      replica: configuration.replica,
      acceptsPeerProof: () => configuration.fold.index.revision >= fleetStatus.highestRevision
    }],
    messenger,
    clock,
    eventLog,
    bytesPerSecond: CATCH_UP_BYTES_PER_SECOND,
    burstBytes: CATCH_UP_BURST_BYTES,
    graceMs: CATCH_UP_GRACE_MS
  })
  membership.addExtension(peerCatchUp)
  configuration.onChange(() => membership.setRevision(configuration.current()?.revision ?? 0))
  const checkpointWriters = streams.writtenStreams.map((stream) => new CheckpointWriter({
    ...stream,
    membership,
    clock,
    eventLog,
    retentionMs: settings.platform.log_retention_ms,
    maximumPartBytes: CHECKPOINT_PART_BYTES,
    bytesPerSecond: CHECKPOINT_BYTES_PER_SECOND,
    maximumRecords: RECORDS_BETWEEN_CHECKPOINTS
  }))
  const operatorServices = new OperatorServices({ settings, configuration, appender, operations: options.operations, fleetStatus, clock, eventLog })
  return { fleetStatus, operatorServices, peerCatchUp, checkpointWriters }
}
