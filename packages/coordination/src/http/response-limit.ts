import type { ResponseLimits } from './response-limits.js'

const LINE_FEED = 10
/** Length of the part of a line that is looked at; no line that matters is longer. */
const MAXIMUM_LINE_TEXT = 256
const EMPTY_LINE = /^\r?\n$/
const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})/
const CHUNKED_HEADER = /^transfer-encoding:.*\bchunked\s*$/i
const CHUNK_SIZE = /^([0-9a-f]{1,8})\s*(?:;|\r?\n)/i
const FIRST_FINAL_STATUS = 200
const SWITCHING_PROTOCOLS = 101
/** Length of the line end after the data of a chunk. */
const CHUNK_END_BYTES = 2

/** Parts of a response. */
const Section = {
  HEAD: 'head',
  CHUNK_SIZE: 'chunk-size',
  CHUNK_DATA: 'chunk-data',
  TRAILERS: 'trailers',
  /** Body without chunks, or what follows a response. */
  REST: 'rest'
} as const
type Section = typeof Section[keyof typeof Section]

/**
 * Limits what a connection may receive in response to one request, before the HTTP client sees it: that one bounds neither every part of a head nor a
 * body, and takes milliseconds to parse some thousand headers.
 */
export class ResponseLimit {
  private readonly _limits: ResponseLimits
  private _section: Section = Section.HEAD
  private _bytes = 0
  private _headBytes = 0
  private _headLines = 0
  private _line = ''
  private _isChunked = false
  private _isInformational = false
  private _chunkBytesLeft = 0

  /**
   * @param limits what may be received
   */
  constructor (limits: ResponseLimits) {
    this._limits = limits
  }

  /** Starts counting anew, since a request is written. */
  reset (): void {
    this._bytes = 0
    this._beginHead()
    this._headBytes = 0
    this._headLines = 0
  }

  /**
   * Counts received bytes.
   * @param chunk bytes as they arrived
   * @returns whether they exceed a limit
   */
  exceedsWith (chunk: Buffer): boolean {
    this._bytes += chunk.length
    let position = 0
    while (position < chunk.length && this._section !== Section.REST && !this._isExceeded) {
      position = this._section === Section.CHUNK_DATA ? this._skipData(chunk, position) : this._readLine(chunk, position)
    }
    return this._isExceeded
  }

  private get _isExceeded (): boolean {
    const { headBytes, headLines, responseBytes } = this._limits
    return this._bytes > responseBytes || this._headBytes > headBytes || this._headLines > headLines
  }

  private _skipData (chunk: Buffer, position: number): number {
    const skipped = Math.min(this._chunkBytesLeft, chunk.length - position)
    this._chunkBytesLeft -= skipped
    if (this._chunkBytesLeft === 0) this._beginChunkSize()
    return position + skipped
  }

  private _readLine (chunk: Buffer, position: number): number {
    const lineFeed = chunk.indexOf(LINE_FEED, position)
    const end = lineFeed < 0 ? chunk.length : lineFeed + 1
    this._headBytes += end - position
    const missing = MAXIMUM_LINE_TEXT - this._line.length
    if (missing > 0) this._line += chunk.toString('latin1', position, Math.min(end, position + missing))
    if (lineFeed < 0) return end
    const line = this._line
    this._line = ''
    this._headLines += 1
    if (this._section === Section.HEAD) this._endHeadLine(line)
    else if (this._section === Section.CHUNK_SIZE) this._endChunkSize(line)
    else if (EMPTY_LINE.test(line)) this._section = Section.REST
    return end
  }

  private _endHeadLine (line: string): void {
    const status = Number(STATUS_LINE.exec(line)?.[1] ?? NaN)
    if (!Number.isNaN(status)) this._isInformational = status < FIRST_FINAL_STATUS && status !== SWITCHING_PROTOCOLS
    if (CHUNKED_HEADER.test(line)) this._isChunked = true
    if (!EMPTY_LINE.test(line)) return
    if (this._isInformational) this._beginHead()
    else if (this._isChunked) this._beginChunkSize()
    else this._section = Section.REST
  }

  private _endChunkSize (line: string): void {
    const size = CHUNK_SIZE.exec(line)?.[1]
    if (size === undefined) this._section = Section.REST
    else if (Number.parseInt(size, 16) === 0) this._section = Section.TRAILERS
    else {
      this._chunkBytesLeft = Number.parseInt(size, 16) + CHUNK_END_BYTES
      this._section = Section.CHUNK_DATA
    }
  }

  private _beginHead (): void {
    this._section = Section.HEAD
    this._line = ''
    this._isChunked = false
    this._isInformational = false
  }

  private _beginChunkSize (): void {
    this._section = Section.CHUNK_SIZE
    this._headBytes = 0
    this._headLines = 0
  }
}
