import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { StreamEvent } from './stream-event.js'

const EVENT_END = Buffer.from('\n\n')
const ID_PREFIX = Buffer.from('id:')
const LINE_END = 0x0a
/** An event that does not end within this is not one of an engine's. */
const MAXIMUM_EVENT_BYTES = 4 * 1024 * 1024

/** Cuts a byte stream of server-sent events into whole events; a part of one is held back until its end arrives. */
export class StreamEventSplitter {
  private _rest: Buffer = Buffer.alloc(0)

  /**
   * Takes bytes.
   * @param chunk the next bytes of the stream
   * @returns the events that are whole now
   * @throws {MimosarockError} ENDPOINT_FAILED if an event grows beyond its bound
   */
  push (chunk: Uint8Array): StreamEvent[] {
    const bytes = this._rest.length === 0
      ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
      : Buffer.concat([this._rest, chunk])
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
    this._rest = bytes.subarray(start)
    if (this._rest.length > MAXIMUM_EVENT_BYTES) {
      throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'an event of the answer has no end', { run: 'ran' })
    }
    return events
  }

  /** Forgets the part of an event that was held back, before the stream is resumed on another connection. */
  reset (): void {
    this._rest = Buffer.alloc(0)
  }
}

function readId (event: Buffer): number | undefined {
  const at = event.indexOf(ID_PREFIX)
  if (at < 0 || (at > 0 && event[at - 1] !== LINE_END)) return undefined
  const end = event.indexOf(LINE_END, at)
  const id = Number(event.toString('latin1', at + ID_PREFIX.length, end))
  return Number.isInteger(id) ? id : undefined
}
