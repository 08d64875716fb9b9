import type { TopicPage } from '../model/topic-page.js'
import type { TopicReader } from '../model/topic-reader.js'

/** Options of `StoreFeed`. */
export interface StoreFeedOptions<Value> {
  /** Name of the topic, for the log. */
  readonly topic: string
  /** Reader of the topic. */
  readonly reader: TopicReader<Value>
  /** Returns how long the store holds a read open until there is a change, in milliseconds. */
  readonly waitMs: () => number
  /** Pause between two successful reads, in milliseconds. */
  readonly pauseMs: number
  /** Whether this router has to read the topic now. */
  readonly shouldRead: () => boolean
  /**
   * Called with each page that was read.
   * @param page changes, or the newest value of each key
   * @param readAt time as of which the page is complete
   */
  readonly onPage: (page: TopicPage<Value>, readAt: number) => void
  /**
   * Called when the first part of an answer has arrived. A long answer takes seconds on a slow link; what it contains is known to be on its way.
   * @param completeAsOf time as of which the answer is complete
   */
  readonly onAnswerBegun?: (completeAsOf: number) => void
  /** Called for each received part of an answer that contains a change since the read before. */
  readonly onChangeBegun?: () => void
  /** Called after each failed read. */
  readonly onFailure?: () => void
}
