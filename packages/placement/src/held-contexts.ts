import type { PlacementClock } from './placement-clock.js'
import { ExpiringMap } from './expiring-map.js'

/**
 * Bounded index of the chat contexts that an endpoint presumably has in its cache, because it answered the chats
 * recently. Entries expire, since evictions at the endpoint are not visible here. A stale entry costs at most a
 * short wait and a cache miss.
 */
export class HeldContexts {
  /** Context lengths in tokens, by affinity key. */
  private readonly _tokens: ExpiringMap<number>

  /**
   * @param maximumChats maximum number of chats; the least recently recorded ones are evicted first
   * @param timeToLiveMs time after which a context is no longer presumed to be cached, in milliseconds
   * @param clock monotonic clock for expiry
   */
  constructor (maximumChats: number, timeToLiveMs: number, clock: PlacementClock) {
    this._tokens = new ExpiringMap(maximumChats, timeToLiveMs, clock)
  }

  /** Number of chats in the index, including expired ones that have not been removed yet. */
  get size (): number {
    return this._tokens.size
  }

  /**
   * Returns the length of a chat's cached context, in tokens.
   * @param affinityKey affinity key of the chat
   * @returns undefined if the context is not presumed to be cached
   */
  tokensOf (affinityKey: string): number | undefined {
    return this._tokens.get(affinityKey)
  }

  /**
   * Records that the endpoint has cached a chat's context.
   * @param affinityKey affinity key of the chat
   * @param tokens length of the context, in tokens
   */
  recordContext (affinityKey: string, tokens: number): void {
    this._tokens.set(affinityKey, tokens)
  }

  /** Removes all entries, for an endpoint that was lost or has a new owner. */
  clear (): void {
    this._tokens.clear()
  }
}
