import type { CheckpointWriter } from '@mimosarock/coordination/checkpoints/checkpoint-writer.js'
import type { LedgerPartitions } from '@mimosarock/coordination/ledger/ledger-partitions.js'
import type { LedgerWriters } from '@mimosarock/coordination/ledger/ledger-writers.js'
import type { KeyedCall } from '../operations/keyed-call.js'
import type { LedgerAdministration } from '../operations/ledger-administration.js'

/** The parts of a router that keep calls from running twice. */
export interface LedgerParts {
  readonly partitions: LedgerPartitions
  readonly writers: LedgerWriters
  readonly keyedCall: KeyedCall
  /** Keep each partition's state beyond the log service's retention. */
  readonly checkpointWriters: readonly CheckpointWriter[]
  readonly administration: LedgerAdministration
}
