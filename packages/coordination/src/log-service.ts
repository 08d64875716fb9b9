import type { ReadOptions } from './read-options.js'
import type { ReadResult } from './read-result.js'

/**
 * The platform's append-only log. Offsets start at 1 in every stream, so 0 stands for "nothing read yet".
 * Every call may fail with LOG_UNAVAILABLE; an append that fails may have taken effect all the same.
 */
export interface LogService {
  /**
   * Appends one record.
   * @param stream name of the stream
   * @param data the encoded record
   * @param signal ends the call; the record may still be appended
   * @returns the record's offset
   * @throws {MimosarockError} LOG_UNAVAILABLE, run state `unknown`
   */
  append (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number>
  /**
   * Reads records.
   * @param stream name of the stream
   * @param fromOffset first offset wanted; reading starts at the oldest kept record if that is later
   * @param options bounds on the read
   * @throws {MimosarockError} LOG_UNAVAILABLE
   */
  read (stream: string, fromOffset: number, options?: ReadOptions): Promise<ReadResult>
}
