const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_FIELD = 'id:'
const ID_FIELD_BYTES = Buffer.from(ID_FIELD)
const ID_LINE = `\n${ID_FIELD}`
const EMPTY = Buffer.alloc(0)

/**
 * Splits a byte stream at the boundaries of server-sent events and tracks the id of the last complete event. A stream
 * that breaks inside an event can then be resumed at another endpoint without sending any byte twice.
 */
export class EventSplitter {
  private _partialEvent: Buffer = EMPTY
  /** The last complete events of which one has an id; it is read when it is asked for, which few streams need. */
  private _eventsWithId: Buffer = EMPTY

  /** Id of the last complete event; undefined before the first one. */
  get lastEventId (): string | undefined {
    const lines = this._eventsWithId.toString('latin1').split('\n')
    return lines.findLast((line) => line.startsWith(ID_FIELD))?.slice(ID_FIELD.length).trim()
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
    if (hasId(events)) this._eventsWithId = events
    return events
  }
}

function hasId (events: Buffer): boolean {
  return events.subarray(0, ID_FIELD.length).equals(ID_FIELD_BYTES) || events.includes(ID_LINE)
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
