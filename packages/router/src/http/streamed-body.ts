import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'

/** A request body that is passed through as it comes, and so can be sent once. */
export class StreamedBody implements AsyncIterable<Uint8Array> {
  private readonly _source: AsyncIterable<Uint8Array>
  private readonly _maximumBytes: number
  private _started = false

  /**
   * @param source the caller's bytes
   * @param maximumBytes largest body passed
   */
  constructor (source: AsyncIterable<Uint8Array>, maximumBytes: number) {
    this._source = source
    this._maximumBytes = maximumBytes
  }

  /** Whether a part of it may have been sent; a second try would send the rest as if it were the whole. */
  get started (): boolean {
    return this._started
  }

  /**
   * Passes the bytes through.
   * @throws {MimosarockError} BODY_TOO_LARGE, run state `unknown` since its first part has gone out
   */
  async * [Symbol.asyncIterator] (): AsyncGenerator<Uint8Array> {
    if (this._started) throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'a streamed body can not be sent again', { run: RunState.UNKNOWN })
    this._started = true
    let bytes = 0
    for await (const chunk of this._source) {
      bytes += chunk.length
      if (bytes > this._maximumBytes) {
        throw new MimosarockError(ResultCode.BODY_TOO_LARGE, `the body is larger than ${this._maximumBytes} bytes`, { run: RunState.UNKNOWN })
      }
      yield chunk
    }
  }
}
