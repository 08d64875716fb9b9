import { fromBinary, toBinary } from '@bufbuild/protobuf'
import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/** Upper bound on the entries accepted in one call. */
const MAXIMUM_ENTRIES = 512

/** Codec of the peer call that forwards entries to the writer of a partition. The result holds the offset of each entry's record. */
export class LedgerAppendCall {
  /** JSON-RPC method name. */
  static readonly METHOD = 'ledger.append'

  /**
   * Encodes the parameters.
   * @param partition index of the partition
   * @param entries entries to append
   * @param timeoutMs upper bound on the time that the writer waits until the entries are read back, in milliseconds
   */
  static encode (partition: number, entries: readonly LogEntry[], timeoutMs: number): unknown {
    const encoded = entries.map((entry) => Buffer.from(toBinary(LogEntrySchema, entry)).toString('base64'))
    return { partition, entries: encoded, timeout_ms: timeoutMs }
  }

  /**
   * Decodes and validates the parameters received from a peer.
   * @param params parameters as encoded by `encode`
   * @throws {MimosarockError} PEER_PROTOCOL
   */
  static decode (params: unknown): { readonly partition: number, readonly entries: readonly LogEntry[], readonly timeoutMs: number } {
    const { partition, entries, timeout_ms: timeoutMs } = (params ?? {}) as Record<string, unknown>
    const valid = typeof partition === 'number' && typeof timeoutMs === 'number' && Array.isArray(entries) && entries.length <= MAXIMUM_ENTRIES
    if (!valid) throw protocolError('params')
    return { partition, timeoutMs, entries: entries.map(decodeEntry) }
  }

  /**
   * Decodes and validates the result of the call.
   * @param result result received from the peer
   * @param count number of entries sent; the result must have one offset for each
   * @throws {MimosarockError} PEER_PROTOCOL
   */
  static decodeOffsets (result: unknown, count: number): readonly number[] {
    const valid = Array.isArray(result) && result.length === count && result.every((offset) => Number.isSafeInteger(offset))
    if (!valid) throw protocolError('offsets')
    return result as number[]
  }
}

function decodeEntry (encoded: unknown): LogEntry {
  if (typeof encoded !== 'string') throw protocolError('entry')
  try {
    return fromBinary(LogEntrySchema, Buffer.from(encoded, 'base64'))
  } catch (error) {
    throw protocolError('entry', error)
  }
}

function protocolError (field: string, cause?: unknown): MimosarockError {
  return new MimosarockError(ResultCode.PEER_PROTOCOL, `${LedgerAppendCall.METHOD}: invalid ${field}`, { field, cause })
}
