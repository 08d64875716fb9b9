import type { PlacementClock } from './placement-clock.js'
import { ExpiringMap } from './expiring-map.js'

/**
 * Bounded directory of displaced chats: chats whose context is at an endpoint other than the first one in the
 * rendezvous order of their key. The router that owns the first endpoint maintains it, because every turn of the
 * chat reaches that router first. The least recently recorded chats are evicted first. An eviction costs a cache
 * miss and never affects correctness.
 */
export class DisplacedChats {
  /** Endpoint names by affinity key. */
  private readonly _endpoints: ExpiringMap<string>

  /**
   * @param maximum maximum number of chats in the directory
   * @param timeToLiveMs time after which a chat expires unless it is recorded again, in milliseconds
   * @param clock monotonic clock for expiry
   */
  constructor (maximum: number, timeToLiveMs: number, clock: PlacementClock) {
    this._endpoints = new ExpiringMap(maximum, timeToLiveMs, clock)
  }

  /** Number of chats in the directory, including expired ones that have not been removed yet. */
  get size (): number {
    return this._endpoints.size
  }

  /** Returns the affinity keys and endpoints of all chats in the directory, most recently recorded first. */
  entries (): Array<readonly [affinityKey: string, endpoint: string]> {
    return this._endpoints.entries()
  }

  /**
   * Records the endpoint that holds a chat's context and restarts the chat's expiry.
   * @param affinityKey affinity key of the chat
   * @param endpoint name of the endpoint
   */
  record (affinityKey: string, endpoint: string): void {
    this._endpoints.set(affinityKey, endpoint)
  }

  /**
   * Returns the endpoint that holds a chat's context.
   * @param affinityKey affinity key of the chat
   * @returns name of the endpoint; undefined if the chat is not known to be displaced
   */
  endpointOf (affinityKey: string): string | undefined {
    return this._endpoints.get(affinityKey)
  }

  /**
   * Removes a chat that runs at its first endpoint again or whose context is lost.
   * @param affinityKey affinity key of the chat
   */
  delete (affinityKey: string): void {
    this._endpoints.delete(affinityKey)
  }

  /**
   * Removes every chat at an endpoint that has lost its cache.
   * @param endpoint name of the endpoint
   */
  deleteEndpoint (endpoint: string): void {
    this._endpoints.deleteValue(endpoint)
  }
}
