import type { StorePosition } from './store-position.js'
import type { TopicPage } from './topic-page.js'

/** Reads one topic of the platform's store. */
export interface TopicReader<Value> {
  /**
   * Reads the changes since a position, or a snapshot if the position is of an earlier era of the store.
   * @param position position to start at; undefined for a snapshot of every key's newest value
   * @param waitMs maximum time that the store waits for a change (long polling), in milliseconds
   * @param signal aborts the call
   * @param onProgress called for each received part of the answer, which can be long, with whether a change since the position is among what has arrived
   * @throws MimosarockError if the store is unreachable or rejects the call
   */
  read (position: StorePosition | undefined, waitMs: number, signal: AbortSignal, onProgress?: (hasChange: boolean) => void): Promise<TopicPage<Value>>
}
