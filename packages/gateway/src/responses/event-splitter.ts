import { ByteBuffer } from '@mimosarock/coordination/http/byte-buffer.js'

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_FIELD = 'id:'
const ID_FIELD_BYTES = Buffer.from(ID_FIELD)
const ID_LINE = `\n${ID_FIELD}`
/** Events without data are not delivered to the code of callers. */
const DATA_FIELD = 'data:'
const BLANK_LINE = /\r?\n\r?\n/
const LINE_END = /\r?\n/
const EMPTY = Buffer.alloc(0)
/** Stands for the byte before the first one of an event. */
const NO_BYTE = -1

/**
 * Splits a byte stream at the boundaries of server-sent events and tracks the id of the last complete event. A stream
 * that breaks inside an event can then be resumed at another endpoint without sending any byte twice.
 */
export class EventSplitter {
  private readonly _partialEvent = new ByteBuffer()
  /** The last two bytes of the incomplete event, which may be the beginning of its end. */
  private _lastByte = NO_BYTE
  private _byteBeforeLast = NO_BYTE
  /** The last complete events of which one has an id; it is read when it is asked for, which few streams need. */
  private _eventsWithId: Buffer = EMPTY
  /** Whether events without an id were complete after those. */
  private _hasLaterEvents = false

  /** Id of the last complete event; undefined before the first one. */
  get lastEventId (): string | undefined {
    const lines = this._eventsWithId.toString('latin1').split('\n')
    return lines.findLast((line) => line.startsWith(ID_FIELD))?.slice(ID_FIELD.length).trim()
  }

  /** Whether the last complete event has an id, so that another endpoint can continue the stream after it. */
  get endsWithId (): boolean {
    if (this._hasLaterEvents) return false
    const events = this._eventsWithId.toString('latin1').split(BLANK_LINE)
    return hasLine(events.findLast((event) => hasLine(event, DATA_FIELD)) ?? '', ID_FIELD)
  }

  /** Discards the bytes of an incomplete event. */
  discardPartialEvent (): void {
    this._partialEvent.clear()
    this._lastByte = NO_BYTE
    this._byteBeforeLast = NO_BYTE
  }

  /** Number of bytes received after the last complete event. */
  get partialBytes (): number {
    return this._partialEvent.length
  }

  /** Number of bytes of memory that the incomplete event takes. */
  get heldBytes (): number {
    return this._partialEvent.capacity
  }

  /**
   * Adds bytes of the stream.
   * @param chunk bytes as they arrived
   * @returns all events that are complete by now and were not returned before; empty if there are none
   */
  push (chunk: Buffer): Buffer {
    const end = this._endOfLastEvent(chunk)
    if (end === 0) {
      this._keep(chunk)
      return EMPTY
    }
    const events = this._completeEvents(chunk.subarray(0, end))
    this._keep(chunk.subarray(end))
    if (hasId(events)) {
      this._eventsWithId = events
      this._hasLaterEvents = false
    } else if (events.includes(DATA_FIELD)) this._hasLaterEvents = true
    return events
  }

  private _completeEvents (end: Buffer): Buffer {
    if (this._partialEvent.length === 0) return end
    this._partialEvent.append(end)
    const events = this._partialEvent.take()
    this.discardPartialEvent()
    return events
  }

  private _keep (part: Buffer): void {
    const { length } = part
    if (length === 0) return
    this._partialEvent.append(part)
    this._byteBeforeLast = length > 1 ? part[length - 2] as number : this._lastByte
    this._lastByte = part[length - 1] as number
  }

  /** Returns the position in a chunk after the last event that ends in it; 0 if none does. Only the chunk is searched, since an event that ended before was returned. */
  private _endOfLastEvent (chunk: Buffer): number {
    for (let index = chunk.length - 1; index >= 0; index -= 1) {
      if (chunk[index] === LINE_FEED && this._isBlankLineEnd(chunk, index)) return index + 1
    }
    return 0
  }

  /** Whether a line feed ends an empty line. */
  private _isBlankLineEnd (chunk: Buffer, lineFeed: number): boolean {
    const before = this._byteAt(chunk, lineFeed - 1)
    return before === LINE_FEED || (before === CARRIAGE_RETURN && this._byteAt(chunk, lineFeed - 2) === LINE_FEED)
  }

  /** Returns a byte of a chunk, or of the incomplete event at a negative position. */
  private _byteAt (chunk: Buffer, position: number): number {
    if (position >= 0) return chunk[position] as number
    return position === -1 ? this._lastByte : this._byteBeforeLast
  }
}

function hasId (events: Buffer): boolean {
  return events.subarray(0, ID_FIELD.length).equals(ID_FIELD_BYTES) || events.includes(ID_LINE)
}

function hasLine (event: string, field: string): boolean {
  return event.split(LINE_END).some((line) => line.startsWith(field))
}
