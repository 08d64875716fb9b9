import type { ConnectionHooks } from './connection-hooks.js'
import type { HeldBytes } from './held-bytes.js'

/** What the router holds for one request: its body, and the part of its response that the caller has not taken yet. */
export class HeldConnection {
  private readonly _heldBytes: HeldBytes
  private readonly _hooks: ConnectionHooks
  private _bodyBytes = 0
  private _isBodyComplete = false
  private _isClosed = false
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

  /** Whether a part of the request body is held and the rest has not arrived. */
  get hasPartialBody (): boolean {
    return this._bodyBytes > 0 && !this._isBodyComplete
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
    if (!this._heldBytes.makeRoomForBody(this, bytes)) return false
    this._bodyBytes += bytes
    this._heldBytes.changeBodyBytes(bytes)
    return true
  }

  /**
   * Sets the listener that is called if the request is refused for the memory that its unfinished body takes.
   * @param listener listener; it is called without arguments
   */
  onBodyRefused (listener: () => void): void {
    this._refusalListener = listener
  }

  /** Records that the request body has arrived completely; the request is no longer refused because of it. */
  completeBody (): void {
    this._isBodyComplete = true
  }

  /** Records that the request body is no longer held. */
  releaseBody (): void {
    this._heldBytes.changeBodyBytes(-this._bodyBytes)
    this._bodyBytes = 0
  }

  /** Refuses the request, whose body has not arrived completely. */
  refuseBody (): void {
    this.releaseBody()
    this._refusalListener()
  }

  /** Closes the connection because its caller reads too slowly. */
  closeSlow (): void {
    const unsentBytes = this.unsentBytes
    this._isClosed = true
    this._hooks.closeSlow(unsentBytes)
  }

  /** Records that the response is closed, and nothing of it is held any more. The request body is, until it is released. */
  responseClosed (): void {
    this._isClosed = true
    this._heldBytes.remove(this)
  }
}
