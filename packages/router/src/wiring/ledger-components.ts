import type { CheckpointWriter } from '@mimosarock/coordination/checkpoints/checkpoint-writer.js'
import type { LedgerPartitions } from '@mimosarock/coordination/ledger/ledger-partitions.js'
import type { LedgerWriters } from '@mimosarock/coordination/ledger/ledger-writers.js'
import type { KeyedCall } from '../operations/keyed-call.js'
import type { LedgerAdministration } from '../operations/ledger-administration.js'

/** Components of a router that prevent keyed calls from running twice. */
export interface LedgerComponents {
  readonly partitions: LedgerPartitions
  readonly writers: LedgerWriters
  readonly keyedCall: KeyedCall
  /** Writers of the checkpoints that preserve the state of each partition beyond the retention time of the log service. */
  readonly checkpointWriters: readonly CheckpointWriter[]
  readonly administration: LedgerAdministration
}
