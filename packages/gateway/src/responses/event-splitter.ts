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
/** Maximum number of bytes of the end of an event, which is a blank line, that may arrive before its last one. */
const END_OF_EVENT_BYTES = 3

/**
 * Splits a byte stream at the boundaries of server-sent events and tracks the id of the last complete event. A stream
 * that breaks inside an event can then be resumed at another endpoint without sending any byte twice.
 */
export class EventSplitter {
  /** Parts of the incomplete event, which are joined when it is complete: joining them with each part takes time by the square of their number. */
  private _parts: Buffer[] = []
  private _partialBytes = 0
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
    this._parts = []
    this._partialBytes = 0
  }

  /** Number of bytes received after the last complete event. */
  get partialBytes (): number {
    return this._partialBytes
  }

  /**
   * Adds bytes of the stream.
   * @param chunk bytes as they arrived
   * @returns all events that are complete by now and were not returned before; empty if there are none
   */
  push (chunk: Buffer): Buffer {
    const end = this._endOfLastEvent(chunk)
    if (end === 0) {
      this._addPart(chunk)
      return EMPTY
    }
    const events = this._parts.length === 0 ? chunk.subarray(0, end) : Buffer.concat([...this._parts, chunk.subarray(0, end)])
    this.discardPartialEvent()
    this._addPart(chunk.subarray(end))
    if (hasId(events)) {
      this._eventsWithId = events
      this._hasLaterEvents = false
    } else if (events.includes(DATA_FIELD)) this._hasLaterEvents = true
    return events
  }

  private _addPart (part: Buffer): void {
    if (part.length === 0) return
    this._parts.push(part)
    this._partialBytes += part.length
  }

  /** Returns the position in a chunk after the last event that ends in it; 0 if none does. */
  private _endOfLastEvent (chunk: Buffer): number {
    const before = this._lastBytes()
    const bytes = before.length === 0 ? chunk : Buffer.concat([before, chunk])
    return Math.max(0, endOfLastEvent(bytes, before.length) - before.length)
  }

  /** Returns the last bytes of the incomplete event, which may be part of its end. */
  private _lastBytes (): Buffer {
    const bytes: number[] = []
    for (let index = this._parts.length - 1; index >= 0 && bytes.length < END_OF_EVENT_BYTES; index -= 1) {
      const part = this._parts[index] as Buffer
      bytes.unshift(...part.subarray(Math.max(0, part.length - END_OF_EVENT_BYTES + bytes.length)))
    }
    return Buffer.from(bytes)
  }
}

function hasId (events: Buffer): boolean {
  return events.subarray(0, ID_FIELD.length).equals(ID_FIELD_BYTES) || events.includes(ID_LINE)
}

function hasLine (event: string, field: string): boolean {
  return event.split(LINE_END).some((line) => line.startsWith(field))
}

// Looks at new bytes alone, since an event that ended before them was returned before.
function endOfLastEvent (bytes: Buffer, newBytes: number): number {
  const first = Math.max(1, newBytes)
  for (let index = bytes.lastIndexOf(LINE_FEED); index >= first; index = bytes.lastIndexOf(LINE_FEED, index - 1)) {
    if (bytes[index - 1] === LINE_FEED) return index + 1
    if (bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED) return index + 1
  }
  return 0
}
