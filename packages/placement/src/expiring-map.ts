import type { PlacementClock } from './placement-clock.js'

/** Value with the time at which it was last set. */
interface ExpiringEntry<Value> {
  readonly value: Value
  readonly updatedAt: number
}

/** Map with a maximum size and a time to live. The least recently set entries are evicted first. */
export class ExpiringMap<Value> {
  private readonly _maximumSize: number
  private readonly _timeToLiveMs: number
  private readonly _clock: PlacementClock
  /** Entries in the order in which they were last set, oldest first. */
  private readonly _entries = new Map<string, ExpiringEntry<Value>>()

  /**
   * @param maximumSize maximum number of entries
   * @param timeToLiveMs time after which an entry expires unless it is set again, in milliseconds
   * @param clock monotonic clock for expiry
   */
  constructor (maximumSize: number, timeToLiveMs: number, clock: PlacementClock) {
    this._maximumSize = maximumSize
    this._timeToLiveMs = timeToLiveMs
    this._clock = clock
  }

  /** Number of entries, including expired ones that have not been removed yet. */
  get size (): number {
    return this._entries.size
  }

  /** Returns the keys and values, most recently set first, including expired ones that have not been removed yet. */
  entries (): Array<readonly [key: string, value: Value]> {
    return [...this._entries].map(([key, { value }]) => [key, value] as const).reverse()
  }

  /**
   * Returns the value of a key and removes the entry if it has expired. Reading does not extend the time to live.
   * @param key key of the entry
   * @returns undefined if there is no entry or it has expired
   */
  get (key: string): Value | undefined {
    const entry = this._entries.get(key)
    if (entry === undefined) return undefined
    if (this._clock.now() - entry.updatedAt <= this._timeToLiveMs) return entry.value
    this._entries.delete(key)
    return undefined
  }

  /**
   * Sets a value and restarts its time to live. Evicts the least recently set entry if the map is full.
   * @param key key of the entry
   * @param value value to store
   */
  set (key: string, value: Value): void {
    this._entries.delete(key)
    this._entries.set(key, { value, updatedAt: this._clock.now() })
    if (this._entries.size <= this._maximumSize) return
    const oldest = this._entries.keys().next()
    if (!oldest.done) this._entries.delete(oldest.value)
  }

  /**
   * Removes an entry.
   * @param key key of the entry
   */
  delete (key: string): void {
    this._entries.delete(key)
  }

  /**
   * Removes every entry with a given value.
   * @param value value to remove, compared by identity
   */
  deleteValue (value: Value): void {
    for (const [key, entry] of this._entries) {
      if (entry.value === value) this._entries.delete(key)
    }
  }

  /** Removes all entries. */
  clear (): void {
    this._entries.clear()
  }
}
