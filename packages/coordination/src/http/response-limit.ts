import { ChunkSizeReader } from './chunk-size-reader.js'
import { RESPONSE_NOT_HTTP } from './response-not-http.js'
import { RESPONSE_TOO_LONG } from './response-too-long.js'
import type { ResponseLimits } from './response-limits.js'

const LINE_FEED = 10
/** Length of the part of a line that is looked at; no line that matters is longer. */
const MAXIMUM_LINE_TEXT = 256
const EMPTY_LINE = /^\r?\n$/
/** HTTP has the statuses 100 to 599; the HTTP client accepts any three digits, and the names of other protocols. */
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d{2})(?: |\r?\n)/
const CHUNKED_HEADER = /^transfer-encoding:.*\bchunked\s*$/i
const FIRST_FINAL_STATUS = 200
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
 * body, takes milliseconds to parse some thousand headers, and accepts status lines that are not HTTP.
 */
export class ResponseLimit {
  private readonly _limits: ResponseLimits
  private _section: Section = Section.HEAD
  private _bytes = 0
  private _headBytes = 0
  private _headLines = 0
  private _line = ''
  private _isChunked = false
  /** Status of the head that is being received; undefined before its first line. */
  private _status: number | undefined
  private readonly _chunkSize = new ChunkSizeReader()
  private _chunkBytesLeft = 0
  private _isHttp = true

  /**
   * @param limits what may be received
   */
  constructor (limits: ResponseLimits) {
    this._limits = limits
  }

  /** Error code that tells which limit is exceeded; undefined if none is. */
  get violation (): string | undefined {
    if (!this._isHttp) return RESPONSE_NOT_HTTP
    return this._isHeadExceeded || this._bytes > this._limits.responseBytes ? RESPONSE_TOO_LONG : undefined
  }

  /** Starts counting anew, since a request is written. */
  reset (): void {
    this._bytes = 0
    this._isHttp = true
    this._beginHead()
    this._headBytes = 0
    this._headLines = 0
  }

  /**
   * Counts received bytes.
   * @param chunk bytes as they arrived
   * @returns number of the bytes that belong to parts of the response within the limits: all of them, or those before the part that exceeds one
   */
  acceptedBytes (chunk: Buffer): number {
    this._bytes += chunk.length
    let position = 0
    let sectionStart = 0
    while (position < chunk.length && this._section !== Section.REST && this._isHeadAccepted) {
      const section = this._section
      position = this._readSection(chunk, position)
      if (this._section !== section && this._isHeadAccepted) sectionStart = position
    }
    return this.violation === undefined ? chunk.length : sectionStart
  }

  private get _isHeadAccepted (): boolean {
    return this._isHttp && !this._isHeadExceeded
  }

  private get _isHeadExceeded (): boolean {
    return this._headBytes > this._limits.headBytes || this._headLines > this._limits.headLines
  }

  private _readSection (chunk: Buffer, position: number): number {
    if (this._section === Section.CHUNK_DATA) return this._skipData(chunk, position)
    return this._section === Section.CHUNK_SIZE ? this._readChunkSize(chunk, position) : this._readLine(chunk, position)
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
    else if (EMPTY_LINE.test(line)) this._section = Section.REST
    return end
  }

  private _endHeadLine (line: string): void {
    if (this._status === undefined) this._readStatusLine(line)
    else if (CHUNKED_HEADER.test(line)) this._isChunked = true
    else if (EMPTY_LINE.test(line)) this._endHead(this._status)
  }

  private _readStatusLine (line: string): void {
    // Empty lines before it are skipped, as the HTTP client does.
    if (EMPTY_LINE.test(line)) return
    const status = STATUS_LINE.exec(line)?.[1]
    this._isHttp = status !== undefined
    this._status = Number(status)
  }

  private _endHead (status: number): void {
    if (status < FIRST_FINAL_STATUS) this._beginHead()
    else if (this._isChunked) this._beginChunkSize()
    else this._section = Section.REST
  }

  private _readChunkSize (chunk: Buffer, position: number): number {
    const end = this._chunkSize.read(chunk, position)
    this._headBytes += end - position
    if (!this._chunkSize.isComplete) return end
    this._headLines += 1
    const { size } = this._chunkSize
    if (size === undefined) this._section = Section.REST
    else if (size === 0) this._section = Section.TRAILERS
    else {
      this._chunkBytesLeft = size + CHUNK_END_BYTES
      this._section = Section.CHUNK_DATA
    }
    return end
  }

  private _beginHead (): void {
    this._section = Section.HEAD
    this._line = ''
    this._isChunked = false
    this._status = undefined
  }

  private _beginChunkSize (): void {
    this._section = Section.CHUNK_SIZE
    this._chunkSize.reset()
    this._headBytes = 0
    this._headLines = 0
  }
}
