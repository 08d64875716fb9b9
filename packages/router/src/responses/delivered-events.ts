import { hash } from '@mimosarock/placement/hash.js'

const CHOICES = Buffer.from('"choices":')
const INITIAL_EVENTS = 256

/**
 * Records the events of a stream that were delivered to the reader, as a hash of four bytes per event, so that a
 * regenerated response can be compared with them. Only the choices are hashed: ids and times differ between engines.
 */
export class DeliveredEvents {
  private _digests = new Uint32Array(INITIAL_EVENTS)
  private _count = 0

  /** Number of events delivered. */
  get count (): number {
    return this._count
  }

  /**
   * Records the next event.
   * @param bytes the complete event
   */
  add (bytes: Buffer): void {
    if (this._count === this._digests.length) {
      const larger = new Uint32Array(this._digests.length * 2)
      larger.set(this._digests)
      this._digests = larger
    }
    this._digests[this._count] = digestOf(bytes)
    this._count += 1
  }

  /**
   * Returns whether an event has the same choices as the one that was delivered at its position.
   * @param id position of the event in the stream, from 0
   * @param bytes the complete event
   */
  matches (id: number, bytes: Buffer): boolean {
    return this._digests[id] === digestOf(bytes)
  }
}

function digestOf (bytes: Buffer): number {
  const start = bytes.indexOf(CHOICES)
  return start < 0 ? 0 : hash.h32Raw(bytes.subarray(start))
}
