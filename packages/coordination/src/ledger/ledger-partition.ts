import { GroupAppender } from '../group-appender.js'
import { StreamReplica } from '../stream-replica.js'
import { FunnelledAppender } from './funnelled-appender.js'
import { LedgerFold } from './ledger-fold.js'
import type { LedgerPartitionOptions } from './ledger-partition-options.js'
import { OperationLedger } from './operation-ledger.js'

/** How long one read waits for a new record; short, so that staleness shows soon. */
const LONG_POLL_MS = 2_000
const SLOW_POLL_MS = 250
const READ_TIMEOUT_MS = 1_000
const APPEND_TIMEOUT_MS = 500
const MAXIMUM_RECORD_BYTES = 512 * 1024
/** A healthy replica is proved current at least once in two polls. */
const STALE_AFTER_MS = 2 * LONG_POLL_MS + READ_TIMEOUT_MS
const GATHER_MS = 5
/** Share of the intent's timeout that one writer gets. */
const WRITER_SHARE = 0.35
/** About 1 KB each with its answer. */
const MAXIMUM_OPERATIONS = 200_000

/** One partition of the keys: its stream, the fold, and the way of its entries into the log. */
export class LedgerPartition {
  /** Decides which attempt may run. */
  readonly ledger: OperationLedger
  /** Follows the partition's stream. */
  readonly replica: StreamReplica
  /** The operations. */
  readonly fold = new LedgerFold()
  /** Takes what peers hand to this router as the partition's writer. */
  readonly appender: FunnelledAppender
  /** Appends as this router, whoever is the writer; for checkpoints. */
  readonly direct: GroupAppender

  /**
   * @param partition number of the partition
   * @param options what the partition works with
   */
  constructor (partition: number, options: LedgerPartitionOptions) {
    const { logService, clock, eventLog, messenger, writers, intentTimeoutMs } = options
    this.replica = new StreamReplica({
      stream: `operations-${partition}`,
      logService,
      fold: this.fold,
      clock,
      eventLog,
      longPollMs: LONG_POLL_MS,
      slowPollMs: SLOW_POLL_MS,
      readTimeoutMs: READ_TIMEOUT_MS
    })
    this.direct = new GroupAppender({
      logService,
      replica: this.replica,
      writerId: options.routerId,
      clock,
      eventLog,
      groupIntervalMs: options.groupIntervalMs,
      appendTimeoutMs: APPEND_TIMEOUT_MS,
      maximumRecordBytes: MAXIMUM_RECORD_BYTES
    })
    this.appender = new FunnelledAppender({
      partition,
      replica: this.replica,
      direct: this.direct,
      writers,
      messenger,
      clock,
      gatherMs: GATHER_MS,
      writerTimeoutMs: Math.ceil(intentTimeoutMs * WRITER_SHARE)
    })
    this.ledger = new OperationLedger({
      replica: this.replica,
      fold: this.fold,
      appender: this.appender,
      routerId: options.routerId,
      clock,
      eventLog,
      intentTimeoutMs,
      keyWindowMs: options.keyWindowMs,
      staleAfterMs: STALE_AFTER_MS,
      longestPauseMs: options.longestPauseMs,
      maximumOperations: MAXIMUM_OPERATIONS
    })
  }

  /**
   * Follows and writes the stream until the signal aborts.
   * @param signal ends the tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.replica.run(signal), this.direct.run(signal)])
    this.ledger.stop()
  }
}
