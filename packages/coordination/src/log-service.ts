import type { ReadOptions } from './read-options.js'
import type { ReadResult } from './read-result.js'

/**
 * The platform's append-only log. Offsets start at 1 in every stream; 0 means that nothing has been read yet.
 * Every operation may fail with LOG_UNAVAILABLE; a failed append may have taken effect nevertheless.
 */
export interface LogService {
  /**
   * Appends one record.
   * @param stream name of the stream
   * @param data encoded record
   * @param signal aborts the request; the record may still be appended
   * @returns offset of the record
   * @throws {MimosarockError} LOG_UNAVAILABLE; run state `unknown` if the append may have taken effect
   */
  append (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number>
  /**
   * Reads records in offset order.
   * @param stream name of the stream
   * @param fromOffset first offset to read; reading starts at the oldest record in the log if that is later
   * @param options limit, wait and abort signal of the read
   * @throws {MimosarockError} LOG_UNAVAILABLE
   */
  read (stream: string, fromOffset: number, options?: ReadOptions): Promise<ReadResult>
}
