/** Number of parts in one read of a connection from which the read counts as dense. A stream has some events in a read, and tens if the router is late. */
const DENSE_READ_PARTS = 256
/** Pause after a dense read, as a multiple of the time for its parts; receiving their bytes and writing them to callers take time in addition. */
const PAUSE_MULTIPLE = 4

/**
 * Limits the time that reads of very short parts take from everything else that the process does. A part takes time of its own, however short it is, and one
 * read of a connection can have ten thousand. After such a read, no connection with such reads is read for a multiple of the time that it took.
 */
export class ReadPacer {
  private readonly _now: () => number
  private _pausedUntil = -Infinity

  /**
   * @param now returns the time of a monotonic clock, in milliseconds
   */
  constructor (now: () => number) {
    this._now = now
  }

  /** Returns the time at which a read begins, in milliseconds. */
  beginRead (): number {
    return this._now()
  }

  /**
   * Records that a read was processed.
   * @param startedAt time at which it began, as `beginRead` returned it
   * @param parts number of parts that it had
   * @returns time after which the connection may be read again, in milliseconds; 0 if at once
   */
  endRead (startedAt: number, parts: number): number {
    if (parts < DENSE_READ_PARTS) return 0
    const now = this._now()
    this._pausedUntil = Math.max(now, this._pausedUntil) + (now - startedAt) * PAUSE_MULTIPLE
    return this._pausedUntil - now
  }
}
