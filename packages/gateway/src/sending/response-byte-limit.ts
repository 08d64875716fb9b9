/** Maximum number of bytes in which the head of a response has to end. */
const MAXIMUM_HEAD_BYTES = 65_536
/** Maximum length of a response with its head; no answer of an endpoint comes near. */
const MAXIMUM_RESPONSE_BYTES = 67_108_864
const END_OF_HEAD = '\r\n\r\n'

/** Limits what a connection may receive in response to one request. The HTTP client bounds neither every part of a head nor a body. */
export class ResponseByteLimit {
  private _bytes = 0
  private _hasHead = false
  private _tail = ''

  /** Starts counting anew, since a request is written. */
  reset (): void {
    this._bytes = 0
    this._hasHead = false
    this._tail = ''
  }

  /**
   * Counts received bytes.
   * @param chunk bytes as they arrived
   * @returns whether they exceed a limit
   */
  exceedsWith (chunk: Buffer): boolean {
    this._bytes += chunk.length
    this._hasHead ||= this._endsHead(chunk)
    return this._bytes > (this._hasHead ? MAXIMUM_RESPONSE_BYTES : MAXIMUM_HEAD_BYTES)
  }

  private _endsHead (chunk: Buffer): boolean {
    const text = this._tail + chunk.toString('latin1')
    this._tail = text.slice(1 - END_OF_HEAD.length)
    return text.includes(END_OF_HEAD)
  }
}
