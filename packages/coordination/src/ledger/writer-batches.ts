import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { FunnelledAppenderOptions } from './funnelled-appender-options.js'
import { LedgerAppendCall } from './ledger-append-call.js'

interface Batch {
  readonly entries: LogEntry[]
  readonly timeoutMs: number
  readonly offsets: Promise<readonly number[]>
}

/** Entries in one call; a batch that is full is followed by another. */
const MAXIMUM_ENTRIES = 256

/** Gathers entries for a short time and hands them to a writer in one peer call. */
export class WriterBatches {
  private readonly _options: FunnelledAppenderOptions
  private readonly _gathering = new Map<string, Batch>()

  /**
   * @param options the appender's
   */
  constructor (options: FunnelledAppenderOptions) {
    this._options = options
  }

  /**
   * Adds an entry to the next batch.
   * @param peerAddress the writer's address
   * @param entry the entry
   * @param timeoutMs bound on the call, in milliseconds
   * @returns offset of the entry's record
   * @throws {MimosarockError} what the peer call throws
   */
  async append (peerAddress: string, entry: LogEntry, timeoutMs: number): Promise<number> {
    const batch = this._batchFor(peerAddress, timeoutMs)
    const place = batch.entries.push(entry) - 1
    const offsets = await batch.offsets
    return offsets[place] as number
  }

  private _batchFor (peerAddress: string, timeoutMs: number): Batch {
    const open = this._gathering.get(peerAddress)
    if (open !== undefined && open.entries.length < MAXIMUM_ENTRIES) return open
    const entries: LogEntry[] = []
    const batch = { entries, timeoutMs, offsets: this._send(peerAddress, entries, timeoutMs) }
    this._gathering.set(peerAddress, batch)
    return batch
  }

  private async _send (peerAddress: string, entries: LogEntry[], timeoutMs: number): Promise<readonly number[]> {
    const { clock, gatherMs, messenger, partition } = this._options
    await clock.sleep(gatherMs)
    if (this._gathering.get(peerAddress)?.entries === entries) this._gathering.delete(peerAddress)
    const callMs = Math.max(1, timeoutMs - gatherMs)
    const params = LedgerAppendCall.encode(partition, entries, callMs)
    return LedgerAppendCall.decodeOffsets(await messenger.call(peerAddress, LedgerAppendCall.METHOD, params, callMs), entries.length)
  }
}
