import type { ConnectionHooks } from './connection-hooks.js'
import type { HeldBytes } from './held-bytes.js'

/** What the router holds for one request: its body, an unfinished event of its response, and the part of the response that the caller has not taken yet. */
export class HeldConnection {
  private readonly _heldBytes: HeldBytes
  private readonly _hooks: ConnectionHooks
  private _bodyBytes = 0
  private _isBodyComplete = false
  private _eventBytes = 0
  private _isClosed = false
  private _isRequestEnded = false
  private _countedBytes = 0
  private _refusalListener: () => void = () => undefined

  /**
   * @param heldBytes bound over all connections
   * @param hooks connection of the caller
   */
  constructor (heldBytes: HeldBytes, hooks: ConnectionHooks) {
    this._heldBytes = heldBytes
    this._hooks = hooks
  }

  /** Whether the request has ended; its response may not be sent completely. */
  get isRequestEnded (): boolean {
    return this._isRequestEnded
  }

  /** Number of bytes of the response that the caller has not taken yet. */
  get unsentBytes (): number {
    return this._isClosed ? 0 : this._hooks.unsentBytes()
  }

  /** Number of bytes of the response that were unsent when `markCounted` was called last, and may still be. */
  get lastingBytes (): number {
    return Math.min(this._countedBytes, this.unsentBytes)
  }

  /** Remembers the number of unsent bytes. */
  markCounted (): void {
    this._countedBytes = this.unsentBytes
  }

  /** Number of bytes of the request body that are held. */
  get bodyBytes (): number {
    return this._bodyBytes
  }

  /** Number of bytes that are held of what has not arrived completely: the request body, or an event of the response. */
  get unfinishedBytes (): number {
    return this._eventBytes + (this._isBodyComplete ? 0 : this._bodyBytes)
  }

  /** Number of unsent bytes from which on the response has to be paused. */
  get maximumUnsentBytes (): number {
    return this._heldBytes.maximumUnsentBytes
  }

  /**
   * Records that a part of the response was written.
   * @param bytes number of bytes
   */
  recordWritten (bytes: number): void {
    this._heldBytes.recordWritten(bytes)
  }

  /**
   * Holds a part of the request body if there is room for it.
   * @param bytes number of bytes that have arrived
   * @returns false if the request has to be refused
   */
  holdBody (bytes: number): boolean {
    if (!this._heldBytes.makeRoom(this, bytes)) return false
    this._bodyBytes += bytes
    this._heldBytes.changeReceivedBytes(bytes)
    return true
  }

  /**
   * Sets how much memory an unfinished event of the response takes, if there is room for it.
   * @param bytes number of bytes; 0 if nothing is held of an event
   * @returns false if the response has to be given up
   */
  holdEvent (bytes: number): boolean {
    const addedBytes = bytes - this._eventBytes
    if (addedBytes > 0 && !this._heldBytes.makeRoom(this, addedBytes)) return false
    this._eventBytes = bytes
    this._heldBytes.changeReceivedBytes(addedBytes)
    return true
  }

  /**
   * Sets the listener that is called if the request is refused, or its response given up, for the memory that the part of it takes that has arrived.
   * @param listener listener; it is called without arguments
   */
  onRefused (listener: () => void): void {
    this._refusalListener = listener
  }

  /** Records that the request body has arrived completely; the request is no longer refused because of it. */
  completeBody (): void {
    this._isBodyComplete = true
  }

  /** Records that neither the request body nor an unfinished event is held any longer. */
  releaseReceived (): void {
    this._heldBytes.changeReceivedBytes(-this._bodyBytes - this._eventBytes)
    this._bodyBytes = 0
    this._eventBytes = 0
  }

  /** Refuses the request, whose body has not arrived completely, or gives up its response, of which an event has not. */
  refuse (): void {
    if (this._eventBytes > 0) this.holdEvent(0)
    else this.releaseReceived()
    this._refusalListener()
  }

  /** Closes the connection because its caller reads too slowly. */
  closeSlow (): void {
    const unsentBytes = this.unsentBytes
    this._isClosed = true
    this._hooks.closeSlow(unsentBytes)
  }

  /** Records that the request has ended, and its response was handed over to its connection. */
  requestEnded (): void {
    this._isRequestEnded = true
  }

  /** Records that the response is closed, and nothing of it is held any more. The request body is, until it is released. */
  responseClosed (): void {
    this._isClosed = true
    this._heldBytes.remove(this)
  }
}
