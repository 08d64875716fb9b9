import type { TopicChange } from './topic-change.js'

/** Changes of a topic, in order, as one read returns them. */
export interface TopicPage<Value> {
  /** Changes in order. */
  readonly changes: readonly TopicChange<Value>[]
  /** Offset for the next read. */
  readonly nextOffset: number
  /** Whether the page is a snapshot, the newest value of every key, instead of the changes since an offset. */
  readonly isSnapshot: boolean
}
