import type { PlacementClock } from './placement-clock.js'

/** Where a chat went and when it was last seen there. */
interface Displacement {
  endpoint: string
  seenAt: number
}

/**
 * Bounded directory of chats whose context lies elsewhere than at the first endpoint of their key's order.
 * Kept by the owner of that first endpoint, whom every turn of the chat reaches first. The chats seen least
 * recently are forgotten first; forgetting one costs a cache miss, never a wrong answer.
 */
export class DisplacedChats {
  private readonly _clock: PlacementClock
  private readonly _maximum: number
  private readonly _keepMs: number
  /** In the order in which the chats were last seen. */
  private readonly _chats = new Map<string, Displacement>()

  /**
   * @param maximum most chats kept
   * @param keepMs time after which a chat that was not seen is forgotten, in milliseconds
   * @param clock source of time
   */
  constructor (maximum: number, keepMs: number, clock: PlacementClock) {
    this._maximum = maximum
    this._keepMs = keepMs
    this._clock = clock
  }

  /** Number of chats kept. */
  get size (): number {
    return this._chats.size
  }

  /** Keys and endpoints of the chats kept, those seen last first. */
  entries (): Array<readonly [affinityKey: string, endpoint: string]> {
    return [...this._chats].map(([key, { endpoint }]) => [key, endpoint] as const).reverse()
  }

  /**
   * Notes where a chat's context lies now.
   * @param affinityKey the chat's key
   * @param endpoint name of the endpoint
   */
  note (affinityKey: string, endpoint: string): void {
    this._chats.delete(affinityKey)
    this._chats.set(affinityKey, { endpoint, seenAt: this._clock.now() })
    this._forgetOldest()
  }

  /**
   * Endpoint that holds a chat's context.
   * @param affinityKey the chat's key
   * @returns undefined if the chat is not known to be displaced
   */
  endpointOf (affinityKey: string): string | undefined {
    const found = this._chats.get(affinityKey)
    if (found === undefined) return undefined
    if (this._clock.now() - found.seenAt <= this._keepMs) return found.endpoint
    this._chats.delete(affinityKey)
    return undefined
  }

  /**
   * Forgets a chat, because it runs at its first endpoint again or its context is gone.
   * @param affinityKey the chat's key
   */
  forget (affinityKey: string): void {
    this._chats.delete(affinityKey)
  }

  /**
   * Forgets every chat at an endpoint that has lost its cache.
   * @param endpoint name of the endpoint
   */
  forgetEndpoint (endpoint: string): void {
    for (const [affinityKey, displacement] of this._chats) {
      if (displacement.endpoint === endpoint) this._chats.delete(affinityKey)
    }
  }

  private _forgetOldest (): void {
    if (this._chats.size <= this._maximum) return
    const oldest = this._chats.keys().next()
    if (!oldest.done) this._chats.delete(oldest.value)
  }
}
