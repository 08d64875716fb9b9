const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_FIELD = 'id:'
const NOTHING = Buffer.alloc(0)

/**
 * Passes on whole events of a stream and knows the identity of the last one, so that a stream that breaks inside an
 * event can go on at another endpoint with no byte twice.
 */
export class EventSplitter {
  private _rest: Buffer = NOTHING
  private _lastEventId: string | undefined

  /** Identity of the last whole event; undefined before the first. */
  get lastEventId (): string | undefined {
    return this._lastEventId
  }

  /** Forgets the beginning of an event that broke off. */
  dropRest (): void {
    this._rest = NOTHING
  }

  /** What has arrived after the last whole event. */
  get rest (): Buffer {
    return this._rest
  }

  /**
   * Takes bytes and returns the whole events that they complete.
   * @param chunk as it arrived
   */
  push (chunk: Buffer): Buffer {
    const bytes = this._rest.length === 0 ? chunk : Buffer.concat([this._rest, chunk])
    const end = endOfLastEvent(bytes)
    this._rest = bytes.subarray(end)
    const events = bytes.subarray(0, end)
    if (end > 0) this._readIdentity(events)
    return events
  }

  private _readIdentity (events: Buffer): void {
    const lines = events.toString('latin1').split('\n')
    for (let index = lines.length - 1; index >= 0; index -= 1) {
      const line = lines[index] as string
      if (!line.startsWith(ID_FIELD)) continue
      this._lastEventId = line.slice(ID_FIELD.length).trim()
      return
    }
  }
}

function endOfLastEvent (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue
    if (bytes[index - 1] === LINE_FEED) return index + 1
    if (bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED) return index + 1
  }
  return 0
}
