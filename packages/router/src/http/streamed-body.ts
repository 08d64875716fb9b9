import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'

/** Request body that is forwarded while it is received, without buffering. It can be sent only once. */
export class StreamedBody implements AsyncIterable<Uint8Array> {
  private readonly _source: AsyncIterable<Uint8Array>
  private readonly _maximumBytes: number
  private _started = false

  /**
   * @param source body received from the caller
   * @param maximumBytes maximum size of the body, in bytes
   */
  constructor (source: AsyncIterable<Uint8Array>, maximumBytes: number) {
    this._source = source
    this._maximumBytes = maximumBytes
  }

  /** Whether part of the body may have been sent. A second attempt would then send the rest as if it were complete. */
  get started (): boolean {
    return this._started
  }

  /**
   * Iterates over the chunks of the body.
   * @throws {MimosarockError} BODY_TOO_LARGE with run state `unknown`, because the preceding chunks have been sent;
   * ENDPOINT_FAILED on a second iteration
   */
  async * [Symbol.asyncIterator] (): AsyncGenerator<Uint8Array> {
    if (this._started) throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'a streamed body cannot be sent again', { run: RunState.UNKNOWN })
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
