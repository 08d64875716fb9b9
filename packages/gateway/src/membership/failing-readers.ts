import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Time for which a statement of another router counts; a reader that goes on trying repeats it with each answer. */
const RETENTION_MS = 2_000
/** Number of routers that fail from which the store is probably unavailable to all; a single one may be cut off from it alone. */
const OUTAGE_ROUTERS = 2

/** Other routers that have stated that they fail to read the store. */
export class FailingReaders {
  private readonly _clock: ElapsedClock
  private readonly _statedAt = new Map<string, number>()

  /**
   * @param clock clock for the retention
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /** Whether the store is probably unavailable to all routers. */
  get isOutageSuspected (): boolean {
    this._removeExpired()
    return this._statedAt.size >= OUTAGE_ROUTERS
  }

  /**
   * Records an answer of another router.
   * @param name name of the router
   * @param isFailing whether it fails to read the store
   */
  record (name: string, isFailing: boolean): void {
    if (isFailing) this._statedAt.set(name, this._clock.now())
    else this._statedAt.delete(name)
  }

  private _removeExpired (): void {
    const oldest = this._clock.now() - RETENTION_MS
    for (const [name, statedAt] of this._statedAt) if (statedAt < oldest) this._statedAt.delete(name)
  }
}
