import type { StorePosition } from './store-position.js'
import type { TopicChange } from './topic-change.js'

/** Changes of a topic, in order, as one read returns them. */
export interface TopicPage<Value> {
  /** Changes in order. */
  readonly changes: readonly TopicChange<Value>[]
  /** Position of the next read. Its era is the one in which the page was read. */
  readonly nextPosition: StorePosition
  /** Whether the page is a snapshot, the newest value of every key, instead of the changes since a position. */
  readonly isSnapshot: boolean
}
