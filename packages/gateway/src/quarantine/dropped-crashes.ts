import { LRUCache } from 'lru-cache'
import type { SuspectRecord } from './suspect-record.js'

/** Maximum number of crashes of dropped suspects that are remembered, at about 150 bytes each. */
const MAXIMUM_CRASHES = 65_536

/** Crashes of suspects for which a table had no room. Without them, a crash that another router tells again would be news again, and be told on without end. */
export class DroppedCrashes {
  /** Created when a suspect is dropped, since the cache takes its memory at once. */
  private _crashes: LRUCache<string, true> | undefined

  /**
   * Remembers the crashes of a suspect that is dropped.
   * @param record record of the suspect
   */
  add ({ id, crashes }: SuspectRecord): void {
    this._crashes ??= new LRUCache<string, true>({ max: MAXIMUM_CRASHES })
    for (const crashId of crashes.keys()) this._crashes.set(keyOf(id, crashId), true)
  }

  /**
   * Whether a crash is one of a suspect that was dropped.
   * @param suspectId id of the suspect
   * @param crashId id of the crash
   */
  has (suspectId: string, crashId: string): boolean {
    return this._crashes?.has(keyOf(suspectId, crashId)) === true
  }
}

function keyOf (suspectId: string, crashId: string): string {
  return `${crashId} ${suspectId}`
}
