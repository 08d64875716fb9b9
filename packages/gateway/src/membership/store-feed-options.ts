import type { TopicPage } from '../model/topic-page.js'
import type { TopicReader } from '../model/topic-reader.js'

/** How a topic is followed. */
export interface StoreFeedOptions<Value> {
  /** Name for the log. */
  readonly topic: string
  /** Reads the topic. */
  readonly reader: TopicReader<Value>
  /** How long the store waits for a change, in milliseconds. */
  readonly waitMs: number
  /** Pause between two calls, in milliseconds. */
  readonly gapMs: number
  /** Whether this router is to read now. */
  readonly isWanted: () => boolean
  /**
   * Takes a page.
   * @param page the changes
   * @param verifiedAt moment at which nothing else was in the store
   */
  readonly take: (page: TopicPage<Value>, verifiedAt: number) => void
}
