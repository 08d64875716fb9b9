import { ByteBuffer } from '@mimosarock/coordination/http/byte-buffer.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { StreamEvent } from './stream-event.js'

const EVENT_END = Buffer.from('\n\n')
const ID_PREFIX = Buffer.from('id:')
const LINE_END = 0x0a
/** Maximum size of an incomplete event that is buffered; engines send no larger events. */
const MAXIMUM_EVENT_BYTES = 4 * 1024 * 1024

/** Splits a byte stream into server-sent events; an incomplete event is buffered until the rest of it arrives. */
export class StreamEventSplitter {
  private readonly _partialEvent = new ByteBuffer()
  /** Whether the buffered bytes end with the first of the two line ends that end an event. */
  private _endsWithLineEnd = false

  /**
   * Appends a chunk.
   * @param chunk the next bytes of the stream
   * @returns the events that the chunk completes
   * @throws {MimosarockError} ENDPOINT_FAILED if an incomplete event exceeds the maximum size
   */
  push (chunk: Uint8Array): StreamEvent[] {
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
    const events: StreamEvent[] = []
    let start = 0
    for (let end = this._firstEnd(bytes); end > 0; end = endAfter(bytes, start)) {
      const event = this._endEvent(bytes.subarray(start, end))
      events.push({ id: readId(event), bytes: event })
      start = end
    }
    this._keep(bytes.subarray(start))
    return events
  }

  /** Discards a buffered incomplete event, before the stream is resumed on another connection. */
  reset (): void {
    this._partialEvent.clear()
    this._endsWithLineEnd = false
  }

  /** Returns the position after the first event that ends in a chunk; 0 if none does. Only the chunk is searched, since the bytes before it were. */
  private _firstEnd (chunk: Buffer): number {
    return this._endsWithLineEnd && chunk[0] === LINE_END ? 1 : endAfter(chunk, 0)
  }

  private _endEvent (end: Buffer): Buffer {
    if (this._partialEvent.length === 0) return end
    this._partialEvent.append(end)
    return this._partialEvent.take()
  }

  private _keep (part: Buffer): void {
    if (part.length === 0 && this._partialEvent.length > 0) return
    this._partialEvent.append(part)
    this._endsWithLineEnd = part.at(-1) === LINE_END
    if (this._partialEvent.length > MAXIMUM_EVENT_BYTES) {
      throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'a stream event exceeds the maximum size', { run: 'ran' })
    }
  }
}

// Returns 0 if no event ends after the start.
function endAfter (bytes: Buffer, start: number): number {
  const end = bytes.indexOf(EVENT_END, start)
  return end < 0 ? 0 : end + EVENT_END.length
}

function readId (event: Buffer): number | undefined {
  const idStart = event.indexOf(ID_PREFIX)
  if (idStart < 0 || (idStart > 0 && event[idStart - 1] !== LINE_END)) return undefined
  const end = event.indexOf(LINE_END, idStart)
  const id = Number(event.toString('latin1', idStart + ID_PREFIX.length, end))
  return Number.isInteger(id) ? id : undefined
}
