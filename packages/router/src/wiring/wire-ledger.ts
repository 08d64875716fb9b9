import { CheckpointWriter } from '@mimosarock/coordination/checkpoints/checkpoint-writer.js'
import { LedgerPartitions } from '@mimosarock/coordination/ledger/ledger-partitions.js'
import { LedgerWriters } from '@mimosarock/coordination/ledger/ledger-writers.js'
import type { LedgerComponents } from './ledger-components.js'
import { KeyedCall } from '../operations/keyed-call.js'
import { LedgerAdministration } from '../operations/ledger-administration.js'
import { OUTCOME_GRACE_MS } from '../operations/outcome-grace.js'
import type { WireLedgerOptions } from './wire-ledger-options.js'

const MINIMUM_REMAINING_MS = 20
const IN_PROGRESS_WAIT_MS = 1_000
const CHECKPOINT_PART_BYTES = 16_384
/** Rate at which a checkpoint is written; part of the control traffic budget. */
const CHECKPOINT_BYTES_PER_SECOND = 800
const RECORDS_BETWEEN_CHECKPOINTS = 20_000

/**
 * Creates the ledger components, which prevent keyed calls from running twice.
 * @param options components and settings that they depend on
 */
export function wireLedger (options: WireLedgerOptions): LedgerComponents {
  const { streams, membership, messenger } = options
  const { settings, logService, clock, eventLog } = options.processOptions
  const { operations } = settings
  const writers = new LedgerWriters(membership)
  const partitions = new LedgerPartitions(operations.partitions, {
    logService,
    messenger,
    writers,
    clock,
    eventLog,
    routerId: membership.self.id,
    intentTimeoutMs: operations.intent_timeout_ms,
    groupIntervalMs: operations.group_interval_ms,
    keyWindowMs: operations.key_window_ms,
    longestPauseMs: operations.longest_pause_ms
  })
  const keyedCall = new KeyedCall({
    ledgerFor: (workspace, key) => partitions.ledgerFor(workspace, key),
    clock,
    eventLog,
    keyWindowMs: operations.key_window_ms,
    dispatchWindowMs: operations.dispatch_window_ms,
    minimumRemainingMs: MINIMUM_REMAINING_MS,
    outcomeGraceMs: OUTCOME_GRACE_MS,
    inProgressWaitMs: IN_PROGRESS_WAIT_MS,
    maximumStoredBodyBytes: operations.maximum_kept_answer_bytes
  })
  const checkpointWriters = partitions.partitions.map((partition) => new CheckpointWriter({
    replica: partition.replica,
    appender: partition.directAppender,
    membership,
    clock,
    eventLog,
    retentionMs: settings.platform.log_retention_ms,
    maximumPartBytes: CHECKPOINT_PART_BYTES,
    bytesPerSecond: CHECKPOINT_BYTES_PER_SECOND,
    maximumRecords: RECORDS_BETWEEN_CHECKPOINTS
  }))
  const administration = new LedgerAdministration({ partitions, configuration: streams.configuration })
  return { partitions, writers, keyedCall, checkpointWriters, administration }
}
