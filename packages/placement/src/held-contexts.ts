import type { PlacementClock } from './placement-clock.js'
import { RecentMap } from './recent-map.js'

/**
 * Which chats' contexts an endpoint is believed to hold because it answered them, bounded in number and time:
 * what the endpoint evicts is not seen here. The worst case of a wrong belief is a short wait and a cache miss.
 */
export class HeldContexts {
  /** Tokens by affinity key. */
  private readonly _tokens: RecentMap<number>

  /**
   * @param maximum most chats kept; those seen least recently are forgotten first
   * @param keepMs how long an answer is taken to prove that the context is there, in milliseconds
   * @param clock source of time
   */
  constructor (maximum: number, keepMs: number, clock: PlacementClock) {
    this._tokens = new RecentMap(maximum, keepMs, clock)
  }

  /** Number of chats kept. */
  get size (): number {
    return this._tokens.size
  }

  /**
   * Tokens of a chat's context that the endpoint holds.
   * @param affinityKey the chat's key
   * @returns undefined if it is not believed to hold any
   */
  tokensOf (affinityKey: string): number | undefined {
    return this._tokens.get(affinityKey)
  }

  /**
   * Notes that the endpoint holds a chat's context.
   * @param affinityKey the chat's key
   * @param tokens its length in tokens
   */
  noteStored (affinityKey: string, tokens: number): void {
    this._tokens.set(affinityKey, tokens)
  }

  /** Forgets everything: the endpoint was lost, or has another owner. */
  clear (): void {
    this._tokens.clear()
  }
}
