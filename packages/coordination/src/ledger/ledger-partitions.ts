import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { hash32 } from '../membership/hash32.js'
import { LedgerAppendCall } from './ledger-append-call.js'
import { LedgerPartition } from './ledger-partition.js'
import type { LedgerPartitionOptions } from './ledger-partition-options.js'
import type { OperationLedger } from './operation-ledger.js'

/**
 * The keys of all workspaces, split into partitions with a stream and a writer each. Today's size uses one.
 * Their number is part of where a key's records are: it may change only while no key is within its window.
 */
export class LedgerPartitions {
  /** The partitions by number. */
  readonly partitions: readonly LedgerPartition[]

  /**
   * @param count number of partitions, the same on every router
   * @param options what each partition works with
   */
  constructor (count: number, options: LedgerPartitionOptions) {
    this.partitions = Array.from({ length: count }, (_, partition) => new LedgerPartition(partition, options))
    options.messenger.handle(LedgerAppendCall.METHOD, async (params) => await this._appendForPeer(params))
  }

  /** Outcomes that the log does not have yet. */
  get unrecordedCount (): number {
    return this.partitions.reduce((sum, partition) => sum + partition.ledger.unrecordedCount, 0)
  }

  /**
   * The ledger that decides about a key.
   * @param workspace workspace that the key belongs to
   * @param key the Idempotency-Key
   */
  ledgerFor (workspace: string, key: string): OperationLedger {
    const partition = this.partitions[hash32(`${workspace}\n${key}`) % this.partitions.length]
    if (partition === undefined) throw new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'the ledger has no partition')
    return partition.ledger
  }

  /**
   * Waits until the log has all outcomes.
   * @param timeoutMs longest wait, in milliseconds
   * @returns whether none is left
   */
  async flush (timeoutMs: number): Promise<boolean> {
    const flushed = await Promise.all(this.partitions.map(async (partition) => await partition.ledger.flush(timeoutMs)))
    return flushed.every(Boolean)
  }

  /** Ends the recording of outcomes. */
  stop (): void {
    for (const partition of this.partitions) partition.ledger.stop()
  }

  /**
   * Follows and writes all streams until the signal aborts.
   * @param signal ends the tasks
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
