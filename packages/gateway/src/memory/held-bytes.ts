import type { ConnectionHooks } from './connection-hooks.js'
import type { HeldBytesOptions } from './held-bytes-options.js'
import { HeldConnection } from './held-connection.js'

/** Fraction of the memory limit that may be held for callers. */
const FRACTION_OF_MEMORY = 0.25
/** Multiple of the bound above which connections are closed. */
const CLOSING_MULTIPLE = 2
/** Fraction of the bound by which unsent bytes may grow before they are counted again, which takes a look at each connection. */
const COUNTING_FRACTION = 1 / 64
/**
 * Unsent bytes up to which a response is never paused. A socket has this many in its buffer before it asks its
 * writer to wait, so callers that keep up stay below, and the end of the wait is announced for those above.
 */
const MINIMUM_UNSENT_BYTES = 16_384

/**
 * Bounds what the process holds for callers over all connections: what has been received of request bodies and of unfinished events, and responses that
 * callers read more slowly than endpoints send. Above the bound, the responses with the most unsent bytes are paused; the threshold is the
 * highest one at which all connections together are within the bound. Above twice the bound, connections with the most unsent
 * bytes are closed; only bytes count that were unsent at the last count too, since a caller that keeps up has some for a moment.
 *
 * Bodies and events alone are compared with the bound, so that callers that do not read their responses cause no refusal of requests of others.
 * One that would exceed it is refused, or a larger one in its place that has not arrived completely either.
 */
export class HeldBytes {
  private readonly _bound: number
  private readonly _connections = new Set<HeldConnection>()
  private _maximumUnsentBytes = Infinity
  private _receivedBytes = 0
  /** Unsent bytes when they were counted last, and those written since. */
  private _unsentEstimate = 0
  private _nextCountAt: number

  /**
   * @param options memory limit
   */
  constructor ({ memoryBytes }: HeldBytesOptions) {
    this._bound = memoryBytes === undefined ? Infinity : memoryBytes * FRACTION_OF_MEMORY
    this._nextCountAt = this._bound
  }

  /** Number of unsent bytes from which on a response is paused; Infinity while all connections are within the bound. */
  get maximumUnsentBytes (): number {
    return this._maximumUnsentBytes
  }

  /** Number of responses that are not sent completely, although their requests have ended. */
  get unsentResponses (): number {
    let unsent = 0
    for (const { isRequestEnded } of this._connections) if (isRequestEnded) unsent += 1
    return unsent
  }

  /** Number of bytes held for all connections. */
  get total (): number {
    return this._receivedBytes + this._unsentBytes()
  }

  /**
   * Adds the connection of a request, which counts until its response is closed.
   * @param hooks connection of the caller
   */
  add (hooks: ConnectionHooks): HeldConnection {
    const connection = new HeldConnection(this, hooks)
    this._connections.add(connection)
    return connection
  }

  /**
   * Removes a connection whose response is closed.
   * @param connection connection to remove
   */
  remove (connection: HeldConnection): void {
    this._connections.delete(connection)
  }

  /**
   * Counts bytes of request bodies and events that are held from now on, or no longer.
   * @param bytes number of bytes; negative if they are no longer held
   */
  changeReceivedBytes (bytes: number): void {
    this._receivedBytes += bytes
  }

  /**
   * Records that bytes of a response were written, and closes connections if that is necessary.
   * @param bytes number of bytes
   */
  recordWritten (bytes: number): void {
    if (this._bound === Infinity) return
    this._unsentEstimate += bytes
    if (this._unsentEstimate >= this._nextCountAt) this._count()
  }

  /**
   * Makes room for bytes of a request body or an event. If there is none, refuses the largest body or event that has not arrived
   * completely: the one that asks, or another one, of which more is held.
   * @param connection connection of the request
   * @param bytes number of bytes that are to be held in addition
   * @returns whether there is room
   */
  makeRoom (connection: HeldConnection, bytes: number): boolean {
    while (this._receivedBytes + bytes > this._bound) {
      const largest = this._largestUnfinished(connection)
      if (largest === undefined || largest.unfinishedBytes <= connection.unfinishedBytes + bytes) return false
      largest.refuse()
    }
    return true
  }

  private _count (): void {
    let unsent = this._unsentBytes()
    while (unsent + this._receivedBytes > this._bound * CLOSING_MULTIPLE) {
      const slowest = this._slowest()
      if (slowest === undefined) break
      slowest.closeSlow()
      unsent = this._unsentBytes()
    }
    for (const connection of this._connections) connection.markCounted()
    this._unsentEstimate = unsent
    const room = this._bound - this._receivedBytes
    this._maximumUnsentBytes = unsent > room ? this._threshold(room) : Infinity
    this._nextCountAt = Math.max(room, unsent + this._bound * COUNTING_FRACTION)
  }

  /** Returns the highest number of unsent bytes up to which all connections together would be within a bound. */
  private _threshold (bound: number): number {
    const ascending = [...this._connections].map(({ unsentBytes }) => unsentBytes).filter((bytes) => bytes > 0).sort((left, right) => left - right)
    let rest = bound
    for (const [index, bytes] of ascending.entries()) {
      const equalPart = rest / (ascending.length - index)
      if (bytes > equalPart) return Math.max(MINIMUM_UNSENT_BYTES, equalPart)
      rest -= bytes
    }
    return Infinity
  }

  /** Returns the connection that holds most since the last count, and not only because something was just written to it. */
  private _slowest (): HeldConnection | undefined {
    let slowest: HeldConnection | undefined
    let most = 0
    for (const connection of this._connections) {
      const { lastingBytes } = connection
      if (lastingBytes <= most) continue
      slowest = connection
      most = lastingBytes
    }
    return slowest
  }

  private _largestUnfinished (asking: HeldConnection): HeldConnection | undefined {
    let largest: HeldConnection | undefined
    for (const connection of this._connections) {
      if (connection === asking || connection.unfinishedBytes === 0) continue
      if (largest === undefined || connection.unfinishedBytes > largest.unfinishedBytes) largest = connection
    }
    return largest
  }

  private _unsentBytes (): number {
    let sum = 0
    for (const { unsentBytes } of this._connections) sum += unsentBytes
    return sum
  }
}
