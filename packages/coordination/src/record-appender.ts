import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Appends entries to one stream and waits until they have been applied by the local replica. */
export interface RecordAppender {
  /**
   * Appends an entry, possibly in one record with other queued entries, and resolves once the local replica has applied it.
   * @param entry entry to append
   * @param timeoutMs upper bound on the wait, in milliseconds
   * @returns offset of the entry's record
   * @throws {MimosarockError} LOG_UNAVAILABLE; run state `not-run` if no append of the entry was sent,
   * `unknown` if one was sent and may still take effect
   */
  append (entry: LogEntry, timeoutMs: number): Promise<number>
}
