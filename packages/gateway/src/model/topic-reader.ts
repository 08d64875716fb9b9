import type { TopicPage } from './topic-page.js'

/** Reads one topic of the platform's store. */
export interface TopicReader<Value> {
  /**
   * Reads changes.
   * @param offset where to begin; undefined for the newest value of every key
   * @param waitMs how long the store may wait for a change, in milliseconds
   * @param signal ends the call
   * @throws MimosarockError if the store can't be reached or refuses
   */
  read (offset: number | undefined, waitMs: number, signal: AbortSignal): Promise<TopicPage<Value>>
}
