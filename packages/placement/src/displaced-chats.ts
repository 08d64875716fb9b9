import type { PlacementClock } from './placement-clock.js'
import { ExpiringMap } from './expiring-map.js'

/**
 * Bounded directory of displaced chats: chats whose context is at an endpoint other than their primary one, the
 * first in the rendezvous order of their affinity key. The router that owns the primary endpoint maintains the
 * directory, because every turn of the chat reaches that router first. The least recently recorded chats are evicted
 * first. An eviction costs a cache miss and never affects correctness.
 */
export class DisplacedChats {
  /** Endpoint names by chat key. */
  private readonly _endpoints: ExpiringMap<string>

  /**
   * @param maximumChats maximum number of chats in the directory
   * @param timeToLiveMs time after which a chat expires unless it is recorded again, in milliseconds
   * @param clock monotonic clock for expiry
   */
  constructor (maximumChats: number, timeToLiveMs: number, clock: PlacementClock) {
    this._endpoints = new ExpiringMap(maximumChats, timeToLiveMs, clock)
  }

  /** Number of chats in the directory, including expired ones that have not been removed yet. */
  get size (): number {
    return this._endpoints.size
  }

  /**
   * Returns the keys and endpoints of all chats in the directory, most recently recorded first, including expired
   * ones that have not been removed yet.
   */
  entries (): Array<readonly [key: string, endpoint: string]> {
    return this._endpoints.entries()
  }

  /**
   * Records the endpoint that holds a chat's context and restarts the chat's expiry.
   * @param key key of the chat: its affinity key, combined with the pool if the directory covers several pools
   * @param endpoint name of the endpoint
   */
  record (key: string, endpoint: string): void {
    this._endpoints.set(key, endpoint)
  }

  /**
   * Returns the endpoint that holds a chat's context.
   * @param key key of the chat, as given to `record`
   * @returns name of the endpoint; undefined if the chat is not known to be displaced
   */
  endpointOf (key: string): string | undefined {
    return this._endpoints.get(key)
  }

  /**
   * Removes a chat whose recorded endpoint no longer holds its latest context.
   * @param key key of the chat, as given to `record`
   */
  delete (key: string): void {
    this._endpoints.delete(key)
  }

  /**
   * Removes every chat at an endpoint that has lost its cache.
   * @param endpoint name of the endpoint
   */
  deleteEndpoint (endpoint: string): void {
    this._endpoints.deleteValue(endpoint)
  }
}
