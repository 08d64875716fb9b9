import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { RecordAppender } from '../record-appender.js'
import type { RouterIdentity } from '../router-identity.js'
import type { ForwardingAppenderOptions } from './forwarding-appender-options.js'
import { ReadBackWaiters } from './read-back-waiters.js'
import { WriterBatches } from './writer-batches.js'

/** Writers attempted before this router appends directly; a second one keeps the number of appends low while the primary is down. */
const MAXIMUM_WRITER_ATTEMPTS = 2
/** Time for which a writer is skipped after a failed call. */
const WRITER_BACKOFF_MS = 1_000

/**
 * Forwards the entries of a partition to one writer of the fleet, which batches those of all routers. The number
 * of appends thereby grows neither with the calls nor with the routers. An entry is confirmed once the replica of
 * this router has applied it.
 *
 * If a writer cannot be reached, the next one is used, and finally this router itself. An entry may therefore be
 * appended more than once; the ledger's fold is idempotent per attempt. Writers append directly and never forward,
 * which rules out loops.
 */
export class ForwardingAppender implements RecordAppender {
  private readonly _options: ForwardingAppenderOptions
  private readonly _readBackWaiters: ReadBackWaiters
  private readonly _batches: WriterBatches
  private readonly _backoffUntil = new Map<string, number>()

  /**
   * @param options replica, writers, timing and other dependencies
   */
  constructor (options: ForwardingAppenderOptions) {
    this._options = options
    this._readBackWaiters = new ReadBackWaiters(options.replica, options.clock)
    this._batches = new WriterBatches(options)
  }

  /**
   * Appends an entry and resolves once the replica of this router has applied it.
   * @param entry entry to append
   * @param timeoutMs upper bound on the wait, in milliseconds
   * @returns offset of the entry's record
   * @throws {MimosarockError} LOG_UNAVAILABLE; run state `not-run` only if the entry was sent neither to a writer nor to the log
   */
  async append (entry: LogEntry, timeoutMs: number): Promise<number> {
    const { clock, directAppender } = this._options
    const deadline = clock.now() + timeoutMs
    let wasSent = false
    for (const writer of this._candidateWriters()) {
      try {
        const offset = await this._batches.append(writer.peerAddress, entry, Math.min(this._options.writerTimeoutMs, deadline - clock.now()))
        wasSent = true
        if (await this._readBackWaiters.waitFor(offset, deadline - clock.now())) return offset
        throw unavailable('the record was not read back in time', RunState.UNKNOWN)
      } catch (error) {
        if (!(error instanceof MimosarockError)) throw error
        // All entries of a batch share one error, and some of them may have been appended nevertheless. Only the error of a
        // call that was never sent proves that this entry was not appended.
        wasSent ||= error.code !== ResultCode.PEER_UNREACHABLE || error.run !== RunState.NOT_RUN
        if (error.code === ResultCode.LOG_UNAVAILABLE) throw unavailable(error.message, RunState.UNKNOWN)
        this._backoffUntil.set(writer.id, clock.now() + WRITER_BACKOFF_MS)
      }
    }
    try {
      return await directAppender.append(entry, Math.max(0, deadline - clock.now()))
    } catch (error) {
      if (wasSent) throw unavailable('the entry was sent to a writer that did not confirm it', RunState.UNKNOWN, error)
      throw error
    }
  }

  /**
   * Handles the `ledger.append` call of a peer: appends directly, even if this router considers another one to be the writer.
   * @param entries entries that the peer forwarded
   * @param timeoutMs upper bound on the wait until the entries are read back, in milliseconds
   * @returns offset of each entry's record, in the order of the entries
   */
  async appendForPeer (entries: readonly LogEntry[], timeoutMs: number): Promise<number[]> {
    return await Promise.all(entries.map(async (entry) => await this._options.directAppender.append(entry, timeoutMs)))
  }

  /** Writers that precede this router in the partition's order and are not in backoff; empty if this router is the primary. */
  private _candidateWriters (): RouterIdentity[] {
    const { writers, partition, clock } = this._options
    const order = writers.first(partition, MAXIMUM_WRITER_ATTEMPTS)
    const selfIndex = order.findIndex((router) => writers.isSelf(router))
    const precedingWriters = selfIndex < 0 ? order : order.slice(0, selfIndex)
    return precedingWriters.filter((router) => (this._backoffUntil.get(router.id) ?? 0) <= clock.now())
  }
}

function unavailable (message: string, run: RunState, cause?: unknown): MimosarockError {
  return new MimosarockError(ResultCode.LOG_UNAVAILABLE, message, { run, retryAfterMs: WRITER_BACKOFF_MS, cause })
}
