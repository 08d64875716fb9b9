import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { hash32 } from '../membership/hash32.js'
import { LedgerAppendCall } from './ledger-append-call.js'
import { LedgerPartition } from './ledger-partition.js'
import type { LedgerPartitionOptions } from './ledger-partition-options.js'
import type { OperationLedger } from './operation-ledger.js'

/**
 * The ledger of all workspaces, partitioned by key; each partition has a stream and a writer. Fleets of the current
 * size use one partition. The number of partitions determines the stream of a key, so it may be changed only while
 * no key is within its window.
 */
export class LedgerPartitions {
  /** Partitions by index. */
  readonly partitions: readonly LedgerPartition[]

  /**
   * @param count number of partitions; must be the same on every router
   * @param options options of each partition
   */
  constructor (count: number, options: LedgerPartitionOptions) {
    this.partitions = Array.from({ length: count }, (_, partition) => new LedgerPartition(partition, options))
    options.messenger.handle(LedgerAppendCall.METHOD, async (params) => await this._appendForPeer(params))
  }

  /** Number of outcomes that have not been recorded in the log. */
  get unrecordedCount (): number {
    return this.partitions.reduce((sum, partition) => sum + partition.ledger.unrecordedCount, 0)
  }

  /**
   * Returns the ledger that is responsible for a key.
   * @param workspace name of the workspace that the key belongs to
   * @param key value of the Idempotency-Key header
   */
  ledgerFor (workspace: string, key: string): OperationLedger {
    const partition = this.partitions[hash32(`${workspace}\n${key}`) % this.partitions.length]
    if (partition === undefined) throw new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'the ledger has no partitions')
    return partition.ledger
  }

  /**
   * Waits until all outcomes are recorded in the log.
   * @param timeoutMs upper bound on the wait, in milliseconds
   * @returns whether all outcomes were recorded in time
   */
  async flush (timeoutMs: number): Promise<boolean> {
    const flushed = await Promise.all(this.partitions.map(async (partition) => await partition.ledger.flush(timeoutMs)))
    return flushed.every(Boolean)
  }

  /** Stops recording outcomes; pending ones are no longer retried. */
  stop (): void {
    for (const partition of this.partitions) partition.ledger.stop()
  }

  /**
   * Runs the replicas and appenders of all streams until the signal aborts.
   * @param signal stops the tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all(this.partitions.map(async (partition) => await partition.run(signal)))
  }

  private async _appendForPeer (params: unknown): Promise<number[]> {
    const { partition, entries, timeoutMs } = LedgerAppendCall.decode(params)
    const found = this.partitions[partition]
    if (found === undefined) throw new MimosarockError(ResultCode.PEER_PROTOCOL, `there is no partition ${partition}`, { field: 'partition' })
    return await found.appender.appendForPeer(entries, timeoutMs)
  }
}
