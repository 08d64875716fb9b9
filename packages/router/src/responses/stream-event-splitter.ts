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
  private _partialEvent: Buffer = Buffer.alloc(0)

  /**
   * Appends a chunk.
   * @param chunk the next bytes of the stream
   * @returns the events that the chunk completes
   * @throws {MimosarockError} ENDPOINT_FAILED if an incomplete event exceeds the maximum size
   */
  push (chunk: Uint8Array): StreamEvent[] {
    const bytes = this._partialEvent.length === 0
      ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
      : Buffer.concat([this._partialEvent, chunk])
    const events: StreamEvent[] = []
    let start = 0
    let end = bytes.indexOf(EVENT_END, start)
    while (end >= 0) {
      const next = end + EVENT_END.length
      const event = bytes.subarray(start, next)
      events.push({ id: readId(event), bytes: event })
      start = next
      end = bytes.indexOf(EVENT_END, start)
    }
    this._partialEvent = bytes.subarray(start)
    if (this._partialEvent.length > MAXIMUM_EVENT_BYTES) {
      throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'a stream event exceeds the maximum size', { run: 'ran' })
    }
    return events
  }

  /** Discards a buffered incomplete event, before the stream is resumed on another connection. */
  reset (): void {
    this._partialEvent = Buffer.alloc(0)
  }
}

function readId (event: Buffer): number | undefined {
  const idStart = event.indexOf(ID_PREFIX)
  if (idStart < 0 || (idStart > 0 && event[idStart - 1] !== LINE_END)) return undefined
  const end = event.indexOf(LINE_END, idStart)
  const id = Number(event.toString('latin1', idStart + ID_PREFIX.length, end))
  return Number.isInteger(id) ? id : undefined
}
