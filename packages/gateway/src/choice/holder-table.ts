import { ChangeLog } from '../membership/change-log.js'
import type { LoggedChanges } from '../membership/logged-changes.js'
import type { HolderNote } from './holder-note.js'

/** Maximum number of keys; at about 150 bytes each they take 30 MB. */
const MAXIMUM_KEYS = 200_000
/** Maximum number of holders per key; additional copies of a context have no benefit. */
const MAXIMUM_HOLDERS = 8

/**
 * Endpoints that hold the cached context of each key, with a log of changes for other routers.
 *
 * Entries are learned from the requests that this router and other routers send. They are removed when the endpoint restarts or
 * leaves, and in least recently used order when the table is full. In the synchronization between routers, the
 * upstream router is the one from which this router reads changes; downstream routers read from this one.
 */
export class HolderTable {
  private readonly _holders = new Map<string, string[]>()
  private readonly _changes = new ChangeLog<HolderNote>()

  /** Position after the latest change, from which the next reading of changes continues. */
  get cursor (): number {
    return this._changes.cursor
  }

  /**
   * Returns the ids of the endpoints that hold a key, most recent first, and marks the key as recently used.
   * @param key id of the last shared prompt part
   */
  holders (key: string): readonly string[] {
    const holders = this._holders.get(key)
    if (holders === undefined) return []
    this._holders.delete(key)
    this._holders.set(key, holders)
    return holders
  }

  /**
   * Adds a holder and logs the change for the upstream and the downstream routers.
   * @param key id of the last shared prompt part
   * @param endpointId id of the holder
   */
  add (key: string, endpointId: string): void {
    if (this.learn(key, endpointId)) this._changes.append({ key, endpointId }, false)
  }

  /**
   * Adds a holder that the upstream router announced and logs the change for the downstream routers only.
   * @param key id of the last shared prompt part
   * @param endpointId id of the holder
   */
  relay (key: string, endpointId: string): void {
    if (this.learn(key, endpointId)) this._changes.append({ key, endpointId }, true)
  }

  /**
   * Adds a holder without logging the change. It is not propagated to other routers, which prevents loops.
   * @param key id of the last shared prompt part
   * @param endpointId id of the holder
   * @returns whether the holder is new for the key
   */
  learn (key: string, endpointId: string): boolean {
    const holders = this._holders.get(key)
    if (holders?.includes(endpointId) === true) return false
    this._holders.delete(key)
    this._holders.set(key, [endpointId, ...(holders ?? [])].slice(0, MAXIMUM_HOLDERS))
    if (this._holders.size > MAXIMUM_KEYS) this._holders.delete(this._holders.keys().next().value as string)
    return true
  }

  /**
   * Removes an endpoint from the holders of all keys.
   * @param endpointId id of the holder
   */
  removeEndpoint (endpointId: string): void {
    for (const [key, holders] of this._holders) {
      if (!holders.includes(endpointId)) continue
      const remaining = holders.filter((holder) => holder !== endpointId)
      if (remaining.length > 0) this._holders.set(key, remaining)
      else this._holders.delete(key)
    }
  }

  /**
   * Returns the changes since a position.
   * @param cursor position after the previous reading; 0 for all changes that are still in the log
   * @param maximum maximum number of changes
   */
  notesSince (cursor: number, maximum: number): LoggedChanges<HolderNote> {
    return this._changes.since(cursor, maximum)
  }

  /**
   * Returns the holders of the most recently used keys, least recent first; adding them with `learn` in this
   * order restores the table.
   * @param maximum maximum number of keys
   */
  recent (maximum: number): readonly HolderNote[] {
    const entries = [...this._holders].slice(-maximum)
    return entries.flatMap(([key, holders]) => [...holders].reverse().map((endpointId) => ({ key, endpointId })))
  }
}
