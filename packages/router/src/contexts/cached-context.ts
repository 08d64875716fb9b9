/** The context of one chat in the cache of one engine, according to the engine's cache events. */
export interface CachedContext {
  /** Length of the context in tokens at its last event. */
  readonly tokens: number
  /** Whether no later event was missed; otherwise the context may have been evicted. */
  readonly certain: boolean
  /** Time of the last event, in monotonic milliseconds. */
  readonly updatedAt: number
}
