/** Part of each request line; a body that is written to the connection has it only as the head of a request. */
const REQUEST_LINE = / HTTP\/1\.1\r\n/
/** End of a request head that announces a body: the HTTP client writes its length, or that it is chunked, as the last header. */
const CONTENT_LENGTH = /\r\ncontent-length: (\d+)\r\n\r\n$/i
const CHUNKED = /\r\ntransfer-encoding: chunked\r\n$/i
const LAST_CHUNK = '\r\n0\r\n\r\n'

/** Follows what the HTTP client writes to a connection, to tell whether the last request was written to its end. */
export class WrittenRequest {
  /** Number of bytes of the body that have not been written; Infinity until the last chunk of a body without a length is. */
  private _missingBytes = 0

  /** Whether the last request was written to its end. */
  get isComplete (): boolean {
    return this._missingBytes <= 0
  }

  /**
   * Records what is written to the connection.
   * @param data text of a head or of the frame of a chunk, or bytes of a body
   * @returns whether it is the head of a request
   */
  record (data: unknown): boolean {
    if (data instanceof Uint8Array) {
      this._missingBytes -= data.length
      return false
    }
    if (data === LAST_CHUNK) this._missingBytes = 0
    if (typeof data !== 'string' || !REQUEST_LINE.test(data)) return false
    this._missingBytes = CHUNKED.test(data) ? Infinity : Number(CONTENT_LENGTH.exec(data)?.[1] ?? 0)
    return true
  }
}
