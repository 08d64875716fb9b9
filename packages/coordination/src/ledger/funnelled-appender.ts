import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { RecordAppender } from '../record-appender.js'
import type { RouterIdentity } from '../router-identity.js'
import type { FunnelledAppenderOptions } from './funnelled-appender-options.js'
import { ReadBackWaits } from './read-back-waits.js'
import { WriterBatches } from './writer-batches.js'

/** Writers tried before this router appends itself; a second one keeps the appends few while the first is down. */
const WRITERS_TRIED = 2
/** How long a writer that could not be reached is passed over. */
const AVOIDED_MS = 1_000

/**
 * Sends a partition's entries through one writer of the fleet, so that the number of appends grows neither
 * with the calls nor with the routers. The entry counts once this router's own replica has applied it.
 *
 * A writer that can't be reached is replaced by the next, then by this router. An entry may so be appended
 * more than once; the ledger's fold takes one attempt once. Writers append directly, so nothing loops.
 */
export class FunnelledAppender implements RecordAppender {
  private readonly _options: FunnelledAppenderOptions
  private readonly _readBack: ReadBackWaits
  private readonly _batches: WriterBatches
  private readonly _avoidedUntil = new Map<string, number>()

  /**
   * @param options what the appender works with
   */
  constructor (options: FunnelledAppenderOptions) {
    this._options = options
    this._readBack = new ReadBackWaits(options.replica, options.clock)
    this._batches = new WriterBatches(options)
  }

  /**
   * Appends an entry and resolves once this router has read it back.
   * @param entry the entry
   * @param timeoutMs longest wait, in milliseconds
   * @throws {MimosarockError} LOG_UNAVAILABLE; run state `not-run` only if the entry was sent to nobody
   */
  async append (entry: LogEntry, timeoutMs: number): Promise<number> {
    const { clock, direct } = this._options
    const deadline = clock.now() + timeoutMs
    let sent = false
    for (const writer of this._writersToTry()) {
      try {
        const offset = await this._batches.append(writer.peerAddress, entry, Math.min(this._options.writerTimeoutMs, deadline - clock.now()))
        sent = true
        if (await this._readBack.until(offset, deadline - clock.now())) return offset
        throw unavailable('the record was not read back in time', RunState.UNKNOWN)
      } catch (error) {
        if (!(error instanceof MimosarockError)) throw error
        // One error stands for the whole batch, so only a call that was never sent proves that nothing was appended.
        sent ||= error.code !== ResultCode.PEER_UNREACHABLE || error.run !== RunState.NOT_RUN
        if (error.code === ResultCode.LOG_UNAVAILABLE) throw unavailable(error.message, RunState.UNKNOWN)
        this._avoidedUntil.set(writer.id, clock.now() + AVOIDED_MS)
      }
    }
    try {
      return await direct.append(entry, Math.max(0, deadline - clock.now()))
    } catch (error) {
      if (sent) throw unavailable('the entry was sent to a writer that did not answer', RunState.UNKNOWN, error)
      throw error
    }
  }

  /**
   * Answers a peer's `ledger.append`: appends as this router, whoever it takes for the writer.
   * @param entries what the peer wants appended
   * @param timeoutMs longest wait for the read-back, in milliseconds
   * @returns offset of each entry's record
   */
  async appendForPeer (entries: readonly LogEntry[], timeoutMs: number): Promise<number[]> {
    return await Promise.all(entries.map(async (entry) => await this._options.direct.append(entry, timeoutMs)))
  }

  /** The writers before this router in the partition's order; none if it comes first. */
  private _writersToTry (): RouterIdentity[] {
    const { writers, partition, clock } = this._options
    const order = writers.first(partition, WRITERS_TRIED)
    const self = order.findIndex((router) => writers.isSelf(router))
    const before = self < 0 ? order : order.slice(0, self)
    return before.filter((router) => (this._avoidedUntil.get(router.id) ?? 0) <= clock.now())
  }
}

function unavailable (message: string, run: RunState, cause?: unknown): MimosarockError {
  return new MimosarockError(ResultCode.LOG_UNAVAILABLE, message, { run, retryAfterMs: AVOIDED_MS, cause })
}
