import type { TopicChange } from './topic-change.js'

/** Changes of a topic, in order. */
export interface TopicPage<Value> {
  /** The changes. */
  readonly changes: readonly TopicChange<Value>[]
  /** Offset from which to read on. */
  readonly nextOffset: number
  /** Whether the page is the newest value of every key instead of what has changed since an offset. */
  readonly isWhole: boolean
}
