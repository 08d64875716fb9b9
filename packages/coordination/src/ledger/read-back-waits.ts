import type { Clock } from '../clock.js'
import type { StreamReplica } from '../stream-replica.js'

interface Wait {
  readonly offset: number
  readonly done: AbortController
}

/** Waits for a replica to apply records that another process has appended. */
export class ReadBackWaits {
  private readonly _replica: StreamReplica
  private readonly _clock: Clock
  private readonly _waits = new Set<Wait>()

  /**
   * @param replica the replica that reads the records
   * @param clock bounds the waits
   */
  constructor (replica: StreamReplica, clock: Clock) {
    this._replica = replica
    this._clock = clock
    replica.onApplied((position) => this._notice(position.offset))
  }

  /**
   * Waits for a record.
   * @param offset the record's offset
   * @param timeoutMs longest wait, in milliseconds
   * @returns whether it has been applied
   */
  async until (offset: number, timeoutMs: number): Promise<boolean> {
    if (this._replica.appliedOffset >= offset) return true
    const wait = { offset, done: new AbortController() }
    this._waits.add(wait)
    this._replica.readNow()
    await this._clock.sleep(timeoutMs, wait.done.signal)
    this._waits.delete(wait)
    return wait.done.signal.aborted
  }

  private _notice (offset: number): void {
    for (const wait of this._waits) {
      if (wait.offset <= offset) wait.done.abort()
    }
  }
}
