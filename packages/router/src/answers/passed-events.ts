import { hash } from '@mimosarock/placement/hash.js'

const CHOICES = Buffer.from('"choices":')
const INITIAL_EVENTS = 256

/**
 * What a reader has been given of a stream, four bytes an event, so that an answer that is computed anew can be
 * compared with it. Only the choices count: ids and times differ from engine to engine.
 */
export class PassedEvents {
  private _digests = new Uint32Array(INITIAL_EVENTS)
  private _count = 0

  /** Events passed on. */
  get count (): number {
    return this._count
  }

  /**
   * Notes the next event.
   * @param bytes the whole event
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
   * Whether an event tells the same as the one that was passed on in its place.
   * @param id place of the event, counted from 0
   * @param bytes the whole event
   */
  matches (id: number, bytes: Buffer): boolean {
    return this._digests[id] === digestOf(bytes)
  }
}

function digestOf (bytes: Buffer): number {
  const start = bytes.indexOf(CHOICES)
  return start < 0 ? 0 : hash.h32Raw(bytes.subarray(start))
}
