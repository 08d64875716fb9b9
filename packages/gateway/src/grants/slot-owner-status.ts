import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Number of consecutive requests without an answer after which an owner is skipped. */
const MAXIMUM_UNANSWERED = 3
/** Time for which an owner that does not answer is skipped at first, in milliseconds: as long as a lost packet holds up a connection. */
const MINIMUM_SKIP_MS = 250
/** Longest time for which an owner is skipped; the time doubles while it does not answer. */
const MAXIMUM_SKIP_MS = 1_000
/** Time after an unanswered request until the owner is asked again although nothing has arrived from it, in milliseconds. */
const ASK_AGAIN_MS = 300
/** Time without any message after an unanswered request, until the connection is reset and the next router of the order is asked, in milliseconds. */
const RESET_MS = 1_000
/** Time for which a router that does not own a service is not asked for it, in milliseconds. */
const NOT_OWNER_MS = 250

/** A time in which nothing has arrived from an owner that was asked. */
interface Silence {
  /** Time at which the first request was given up. */
  readonly since: number
  /** Number of messages that had arrived by then. */
  readonly receivedCount: number
  readonly askAgainAt: number
}

/** What this router knows of one slot owner by its answers. */
export class SlotOwnerStatus {
  private readonly _clock: ElapsedClock
  private readonly _notOwnerUntil = new Map<string, number>()
  private _unanswered = 0
  private _skips = 0
  private _skippedUntil = -Infinity
  private _silence: Silence | undefined

  /**
   * @param clock measures the times for which the owner is not asked
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Returns whether the owner may be asked for a slot.
   * @param service name of the service
   * @param receivedCount number of messages that have arrived from the owner
   */
  mayAsk (service: string, receivedCount: number): boolean {
    const now = this._clock.now()
    const isSilent = this._silence?.receivedCount === receivedCount && now < this._silence.askAgainAt
    return !isSilent && now >= this._skippedUntil && now >= (this._notOwnerUntil.get(service) ?? -Infinity)
  }

  /** Records an answer of any kind. */
  recordAnswer (): void {
    this._unanswered = 0
    this._skips = 0
    this._silence = undefined
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
   * Records a request without an answer within the time limit. Each request is answered at some time by an owner that can be reached,
   * so the owner is not asked again until something arrives from it, or for a while. An owner whose answers arrive too late each
   * time is skipped.
   * @param receivedCount number of messages that have arrived from the owner
   * @returns whether the owner is skipped from now on
   */
  recordSilence (receivedCount: number): boolean {
    const now = this._clock.now()
    const since = this._silence?.receivedCount === receivedCount ? this._silence.since : now
    this._silence = { since, receivedCount, askAgainAt: now + ASK_AGAIN_MS }
    this._unanswered += 1
    if (this._unanswered < MAXIMUM_UNANSWERED || now < this._skippedUntil) return false
    // A single request without an answer after the skip starts the next one.
    this._unanswered = MAXIMUM_UNANSWERED - 1
    this._skippedUntil = now + Math.min(MAXIMUM_SKIP_MS, MINIMUM_SKIP_MS * 2 ** this._skips)
    this._skips += 1
    return true
  }

  /** Whether nothing has arrived for so long that the connection is to be reset. */
  get needsReset (): boolean {
    return this._silence !== undefined && this._clock.now() - this._silence.since >= RESET_MS
  }

  /** Records that the connection was reset. */
  recordReset (): void {
    this._silence = undefined
  }
}
