import type { PlacementClock } from './placement-clock.js'
import { RecentMap } from './recent-map.js'

/**
 * Bounded directory of chats whose context lies elsewhere than at the first endpoint of their key's order.
 * Kept by the owner of that first endpoint, whom every turn of the chat reaches first. The chats seen least
 * recently are forgotten first; forgetting one costs a cache miss, never a wrong answer.
 */
export class DisplacedChats {
  /** Endpoints by affinity key. */
  private readonly _endpoints: RecentMap<string>

  /**
   * @param maximum most chats kept
   * @param keepMs time after which a chat that was not seen is forgotten, in milliseconds
   * @param clock source of time
   */
  constructor (maximum: number, keepMs: number, clock: PlacementClock) {
    this._endpoints = new RecentMap(maximum, keepMs, clock)
  }

  /** Number of chats kept. */
  get size (): number {
    return this._endpoints.size
  }

  /** Keys and endpoints of the chats kept, those seen last first. */
  entries (): Array<readonly [affinityKey: string, endpoint: string]> {
    return this._endpoints.entries()
  }

  /**
   * Notes where a chat's context lies now.
   * @param affinityKey the chat's key
   * @param endpoint name of the endpoint
   */
  note (affinityKey: string, endpoint: string): void {
    this._endpoints.set(affinityKey, endpoint)
  }

  /**
   * Endpoint that holds a chat's context.
   * @param affinityKey the chat's key
   * @returns undefined if the chat is not known to be displaced
   */
  endpointOf (affinityKey: string): string | undefined {
    return this._endpoints.get(affinityKey)
  }

  /**
   * Forgets a chat, because it runs at its first endpoint again or its context is gone.
   * @param affinityKey the chat's key
   */
  forget (affinityKey: string): void {
    this._endpoints.delete(affinityKey)
  }

  /**
   * Forgets every chat at an endpoint that has lost its cache.
   * @param endpoint name of the endpoint
   */
  forgetEndpoint (endpoint: string): void {
    this._endpoints.deleteValue(endpoint)
  }
}
