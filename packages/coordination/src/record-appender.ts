import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Writes entries to one stream and tells when they were read back. */
export interface RecordAppender {
  /**
   * Appends an entry, together with others that wait, and resolves with the offset of its record once the
   * stream's fold has applied it.
   * @param entry the entry
   * @param timeoutMs how long to wait for the read-back, in milliseconds
   * @throws {MimosarockError} LOG_UNAVAILABLE; run state `not-run` if no append of the entry was sent,
   * `unknown` if one was and it may yet take effect
   */
  append (entry: LogEntry, timeoutMs: number): Promise<number>
}
