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

/**
 * Splits a byte stream at the boundaries of server-sent events and tracks the id of the last complete event. A stream
 * that breaks inside an event can then be resumed at another endpoint without sending any byte twice.
 */
export class EventSplitter {
  private _partialEvent: Buffer = EMPTY
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
    this._partialEvent = EMPTY
  }

  /** Bytes received after the last complete event. */
  get partialEvent (): Buffer {
    return this._partialEvent
  }

  /**
   * Adds bytes of the stream.
   * @param chunk bytes as they arrived
   * @returns all events that are complete by now and were not returned before; empty if there are none
   */
  push (chunk: Buffer): Buffer {
    const bytes = this._partialEvent.length === 0 ? chunk : Buffer.concat([this._partialEvent, chunk])
    const end = endOfLastEvent(bytes, bytes.length - chunk.length)
    this._partialEvent = bytes.subarray(end)
    const events = bytes.subarray(0, end)
    if (hasId(events)) {
      this._eventsWithId = events
      this._hasLaterEvents = false
    } else if (events.includes(DATA_FIELD)) this._hasLaterEvents = true
    return events
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
  for (let index = bytes.length - 1; index >= Math.max(1, newBytes); index -= 1) {
    if (bytes[index] !== LINE_FEED) continue
    if (bytes[index - 1] === LINE_FEED) return index + 1
    if (bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED) return index + 1
  }
  return 0
}
