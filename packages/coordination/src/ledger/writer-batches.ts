import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { ForwardingAppenderOptions } from './forwarding-appender-options.js'
import { LedgerAppendCall } from './ledger-append-call.js'

interface Batch {
  readonly entries: LogEntry[]
  readonly timeoutMs: number
  readonly offsets: Promise<readonly number[]>
}

/** Upper bound on the entries of a batch; when it is reached, a new batch is started. */
const MAXIMUM_ENTRIES = 256

/** Collects entries for a short time and sends them to a writer in one peer call. */
export class WriterBatches {
  private readonly _options: ForwardingAppenderOptions
  private readonly _openBatches = new Map<string, Batch>()

  /**
   * @param options options of the appender
   */
  constructor (options: ForwardingAppenderOptions) {
    this._options = options
  }

  /**
   * Adds an entry to the next batch for a writer.
   * @param peerAddress peer address of the writer
   * @param entry entry to append
   * @param timeoutMs timeout of the call, in milliseconds; the first entry of a batch determines it
   * @returns offset of the entry's record
   * @throws {MimosarockError} error of the peer call; all entries of a batch share it
   */
  async append (peerAddress: string, entry: LogEntry, timeoutMs: number): Promise<number> {
    const batch = this._batchFor(peerAddress, timeoutMs)
    const index = batch.entries.push(entry) - 1
    const offsets = await batch.offsets
    return offsets[index] as number
  }

  private _batchFor (peerAddress: string, timeoutMs: number): Batch {
    const open = this._openBatches.get(peerAddress)
    if (open !== undefined && open.entries.length < MAXIMUM_ENTRIES) return open
    const entries: LogEntry[] = []
    const batch = { entries, timeoutMs, offsets: this._send(peerAddress, entries, timeoutMs) }
    this._openBatches.set(peerAddress, batch)
    return batch
  }

  private async _send (peerAddress: string, entries: LogEntry[], timeoutMs: number): Promise<readonly number[]> {
    const { clock, batchDelayMs, messenger, partition } = this._options
    await clock.sleep(batchDelayMs)
    if (this._openBatches.get(peerAddress)?.entries === entries) this._openBatches.delete(peerAddress)
    const callTimeoutMs = Math.max(1, timeoutMs - batchDelayMs)
    const params = LedgerAppendCall.encode(partition, entries, callTimeoutMs)
    return LedgerAppendCall.decodeOffsets(await messenger.call(peerAddress, LedgerAppendCall.METHOD, params, callTimeoutMs), entries.length)
  }
}
