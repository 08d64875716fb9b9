import type { Clock } from '../clock.js'
import type { StreamReplica } from '../stream-replica.js'

interface Waiter {
  readonly offset: number
  readonly done: AbortController
}

/** Waits until a replica has applied records that another process appended. */
export class ReadBackWaiters {
  private readonly _replica: StreamReplica
  private readonly _clock: Clock
  private readonly _waiters = new Set<Waiter>()

  /**
   * @param replica replica that applies the records
   * @param clock clock for the timeouts
   */
  constructor (replica: StreamReplica, clock: Clock) {
    this._replica = replica
    this._clock = clock
    replica.onApplied((position) => this._onApplied(position.offset))
  }

  /**
   * Waits for a record and triggers a read of the log.
   * @param offset offset of the record
   * @param timeoutMs upper bound on the wait, in milliseconds
   * @returns whether the record has been applied in time
   */
  async waitFor (offset: number, timeoutMs: number): Promise<boolean> {
    if (this._replica.appliedOffset >= offset) return true
    const waiter = { offset, done: new AbortController() }
    this._waiters.add(waiter)
    this._replica.readNow()
    await this._clock.sleep(timeoutMs, waiter.done.signal)
    this._waiters.delete(waiter)
    return waiter.done.signal.aborted
  }

  private _onApplied (offset: number): void {
    for (const waiter of this._waiters) {
      if (waiter.offset <= offset) waiter.done.abort()
    }
  }
}
