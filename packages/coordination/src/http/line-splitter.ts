import { ByteBuffer } from './byte-buffer.js'

const LINE_FEED = 10

/** Splits received bytes into lines of UTF-8 text. */
export class LineSplitter {
  private readonly _maximumBytes: number
  /** The beginning of a line whose end has not arrived. */
  private readonly _rest = new ByteBuffer()

  /**
   * @param maximumBytes maximum length of a line, in bytes
   */
  constructor (maximumBytes: number) {
    this._maximumBytes = maximumBytes
  }

  /**
   * Returns the lines that end in a part of the bytes.
   * @param part bytes as they arrived
   * @returns the lines without their line feeds; undefined if a line is too long
   */
  push (part: Buffer): readonly string[] | undefined {
    const lines: string[] = []
    let start = 0
    for (let end = part.indexOf(LINE_FEED); end >= 0; end = part.indexOf(LINE_FEED, start)) {
      if (this._isTooLong(end - start)) return undefined
      lines.push(this._endLine(part.subarray(start, end)))
      start = end + 1
    }
    if (this._isTooLong(part.length - start)) return undefined
    this._rest.append(part.subarray(start))
    return lines
  }

  private _isTooLong (addedBytes: number): boolean {
    return this._rest.length + addedBytes > this._maximumBytes
  }

  private _endLine (end: Buffer): string {
    if (this._rest.length === 0) return end.toString('utf8')
    this._rest.append(end)
    return this._rest.take().toString('utf8')
  }
}
