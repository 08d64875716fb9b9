import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Number of consecutive requests without an answer after which an owner is skipped. */
const MAXIMUM_UNANSWERED = 3
/** Time for which an owner that does not answer is skipped at first, in milliseconds: as long as a lost packet holds up a connection. */
const MINIMUM_SKIP_MS = 250
/** Longest time for which an owner is skipped; the time doubles while it does not answer. */
const MAXIMUM_SKIP_MS = 1_000
/** Number of consecutive skips after which the connection is reset, so that the next router of the order is asked. */
const SKIPS_BEFORE_RESET = 3
/** Time for which a router that does not own a service is not asked for it, in milliseconds. */
const NOT_OWNER_MS = 250

/** What this router knows of one slot owner by its answers. */
export class SlotOwnerStatus {
  private readonly _clock: ElapsedClock
  private readonly _notOwnerUntil = new Map<string, number>()
  private _unanswered = 0
  private _skips = 0
  private _skippedUntil = -Infinity

  /**
   * @param clock measures the times for which the owner is not asked
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Returns whether the owner may be asked for a slot.
   * @param service name of the service
   */
  mayAsk (service: string): boolean {
    const now = this._clock.now()
    return now >= this._skippedUntil && now >= (this._notOwnerUntil.get(service) ?? -Infinity)
  }

  /** Records an answer of any kind. */
  recordAnswer (): void {
    this._unanswered = 0
    this._skips = 0
  }

  /**
   * Records that the router answered that it does not own a service.
   * @param service name of the service
   */
  recordNotOwner (service: string): void {
    this.recordAnswer()
    this._notOwnerUntil.set(service, this._clock.now() + NOT_OWNER_MS)
  }

  /**
   * Records a request without an answer within the time limit.
   * @returns whether the owner is to be skipped from now on
   */
  recordSilence (): boolean {
    this._unanswered += 1
    if (this._unanswered < MAXIMUM_UNANSWERED || this._clock.now() < this._skippedUntil) return false
    // A single request without an answer after the skip starts the next one.
    this._unanswered = MAXIMUM_UNANSWERED - 1
    this._skippedUntil = this._clock.now() + Math.min(MAXIMUM_SKIP_MS, MINIMUM_SKIP_MS * 2 ** this._skips)
    this._skips += 1
    return true
  }

  /** Whether the owner has been skipped so often that its connection is to be reset. */
  get needsReset (): boolean {
    return this._skips >= SKIPS_BEFORE_RESET
  }
}
