import type { ServerResponse } from 'node:http'
import { ByteBuffer } from '@mimosarock/coordination/http/byte-buffer.js'

/** Length from which bytes are written without being copied, and at which collected ones are written although the caller has not caught up, in bytes. */
const MINIMUM_WRITE_BYTES = 16_384
/** Multiple of their length that bytes may keep in memory if they are not copied. */
const MAXIMUM_KEPT_MULTIPLE = 2

/**
 * Writes the body of a response to a caller. Short parts that arrive together are written together, and those for a caller that has not taken the earlier
 * ones are collected: each write takes time and memory of its own, of which the number of unsent bytes tells nothing.
 */
export class CallerOutput {
  private readonly _response: ServerResponse
  private readonly _collected = new ByteBuffer()
  /** The only part to be written, which need not be copied; undefined if there is none, or parts are collected. */
  private _onlyPart: Buffer | undefined
  private _isFlushScheduled = false

  /**
   * @param response response to the caller
   */
  constructor (response: ServerResponse) {
    this._response = response
  }

  /** Number of bytes that the caller has not taken. */
  get unsentBytes (): number {
    return this._response.writableLength + this._collected.capacity + (this._onlyPart?.length ?? 0)
  }

  /**
   * Number of bytes that wait for the caller to read. Bytes that are written as soon as the present read of the endpoint is processed do not count, since
   * no event announces that they have been sent.
   */
  get backlogBytes (): number {
    return this._response.writableNeedDrain ? this.unsentBytes : this._response.writableLength
  }

  /**
   * Writes bytes, at the latest when the caller has taken the earlier ones.
   * @param bytes bytes of the body
   */
  write (bytes: Buffer): void {
    if (isWorthOneWrite(bytes)) {
      this.flush()
      this._writeNow(bytes)
      return
    }
    if (this._response.writableNeedDrain) this._collect(bytes)
    else this._writeSoon(bytes)
  }

  /** Writes the bytes that were collected. */
  flush (): void {
    const bytes = this._take()
    if (bytes !== undefined) this._writeNow(bytes)
  }

  /** Ends the response after all bytes. */
  end (): void {
    const bytes = this._take()
    if (bytes === undefined) this._response.end()
    else this._response.end(bytes)
  }

  private _collect (bytes: Buffer): void {
    if (this._onlyPart !== undefined) this._collected.append(this._onlyPart)
    this._onlyPart = undefined
    this._collected.append(bytes)
    if (this._collected.length >= MINIMUM_WRITE_BYTES) this.flush()
  }

  private _writeNow (bytes: Buffer): void {
    if (!this._response.destroyed) this._response.write(bytes)
  }

  private _take (): Buffer | undefined {
    const part = this._onlyPart
    this._onlyPart = undefined
    if (part !== undefined) return part
    return this._collected.length === 0 ? undefined : this._collected.take()
  }

  private _writeSoon (bytes: Buffer): void {
    if (this._onlyPart === undefined && this._collected.length === 0) this._onlyPart = bytes
    else this._collect(bytes)
    if (this._isFlushScheduled) return
    this._isFlushScheduled = true
    // All parts of one read of a connection are delivered before this.
    process.nextTick(() => {
      this._isFlushScheduled = false
      this.flush()
    })
  }
}

function isWorthOneWrite (bytes: Buffer): boolean {
  return bytes.length >= MINIMUM_WRITE_BYTES && bytes.length * MAXIMUM_KEPT_MULTIPLE >= bytes.buffer.byteLength
}
