import type { PlacementClock } from './placement-clock.js'

/** A value and when it was seen last. */
interface RecentEntry<Value> {
  readonly value: Value
  readonly seenAt: number
}

/** A map bounded in number and time: entries seen least recently are forgotten first. */
export class RecentMap<Value> {
  private readonly _maximum: number
  private readonly _keepMs: number
  private readonly _clock: PlacementClock
  /** In the order in which the entries were last seen. */
  private readonly _entries = new Map<string, RecentEntry<Value>>()

  /**
   * @param maximum most entries kept
   * @param keepMs time after which an entry that was not seen is forgotten, in milliseconds
   * @param clock source of time
   */
  constructor (maximum: number, keepMs: number, clock: PlacementClock) {
    this._maximum = maximum
    this._keepMs = keepMs
    this._clock = clock
  }

  /** Number of entries kept. */
  get size (): number {
    return this._entries.size
  }

  /** Keys and values, those seen last first. */
  entries (): Array<readonly [key: string, value: Value]> {
    return [...this._entries].map(([key, { value }]) => [key, value] as const).reverse()
  }

  /**
   * The value of a key; one that is too old is forgotten.
   * @param key of the entry
   */
  get (key: string): Value | undefined {
    const entry = this._entries.get(key)
    if (entry === undefined) return undefined
    if (this._clock.now() - entry.seenAt <= this._keepMs) return entry.value
    this._entries.delete(key)
    return undefined
  }

  /**
   * Sets a value, seen now.
   * @param key of the entry
   * @param value to keep
   */
  set (key: string, value: Value): void {
    this._entries.delete(key)
    this._entries.set(key, { value, seenAt: this._clock.now() })
    if (this._entries.size <= this._maximum) return
    const oldest = this._entries.keys().next()
    if (!oldest.done) this._entries.delete(oldest.value)
  }

  /**
   * Forgets an entry.
   * @param key of the entry
   */
  delete (key: string): void {
    this._entries.delete(key)
  }

  /**
   * Forgets every entry with a value.
   * @param value to be forgotten
   */
  deleteValue (value: Value): void {
    for (const [key, entry] of this._entries) {
      if (entry.value === value) this._entries.delete(key)
    }
  }

  /** Forgets everything. */
  clear (): void {
    this._entries.clear()
  }
}
