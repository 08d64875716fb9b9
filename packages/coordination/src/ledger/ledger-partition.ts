import { GroupAppender } from '../group-appender.js'
import { StreamReplica } from '../stream-replica.js'
import { ForwardingAppender } from './forwarding-appender.js'
import { LedgerFold } from './ledger-fold.js'
import type { LedgerPartitionOptions } from './ledger-partition-options.js'
import { OperationLedger } from './operation-ledger.js'

/** Time that one read waits for a new record; short, so that a stale replica is detected early. */
const LONG_POLL_MS = 2_000
const SLOW_POLL_MS = 250
const READ_TIMEOUT_MS = 1_000
const APPEND_TIMEOUT_MS = 500
const MAXIMUM_RECORD_BYTES = 512 * 1024
/** A healthy replica is proved current at least once in two polls. */
const STALE_AFTER_MS = 2 * LONG_POLL_MS + READ_TIMEOUT_MS
const BATCH_DELAY_MS = 5
/** Timeout of a call to one writer, as a fraction of the intent timeout. */
const WRITER_TIMEOUT_FRACTION = 0.35
/** An operation takes about 1 KB including its stored response. */
const MAXIMUM_OPERATIONS = 200_000

/** One partition of the ledger: its stream and replica, its fold, and the appenders to its stream. */
export class LedgerPartition {
  /** Decides which attempt may run an operation. */
  readonly ledger: OperationLedger
  /** Follows the stream of the partition. */
  readonly replica: StreamReplica
  /** Operations of the partition, as applied by the replica. */
  readonly fold = new LedgerFold()
  /** Appends through the writer of the partition; also handles entries that peers forward to this router as the writer. */
  readonly appender: ForwardingAppender
  /** Appends from this router without forwarding, regardless of the writer; used for checkpoints. */
  readonly directAppender: GroupAppender

  /**
   * @param partition index of the partition
   * @param options log service, writers, timing and other dependencies
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
    this.directAppender = new GroupAppender({
      logService,
      replica: this.replica,
      writerId: options.routerId,
      clock,
      eventLog,
      groupIntervalMs: options.groupIntervalMs,
      appendTimeoutMs: APPEND_TIMEOUT_MS,
      maximumRecordBytes: MAXIMUM_RECORD_BYTES
    })
    this.appender = new ForwardingAppender({
      partition,
      replica: this.replica,
      directAppender: this.directAppender,
      writers,
      messenger,
      clock,
      batchDelayMs: BATCH_DELAY_MS,
      writerTimeoutMs: Math.ceil(intentTimeoutMs * WRITER_TIMEOUT_FRACTION)
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
   * Runs the replica and the appender of the stream until the signal aborts.
   * @param signal stops the tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.replica.run(signal), this.directAppender.run(signal)])
    this.ledger.stop()
  }
}
