import type { LoadDigest } from './load-digest.js'
import type { LoadSource } from './load-source.js'
import type { PoolLoadOptions } from './pool-load-options.js'

/** Digest with its local arrival time, because clocks of other routers are not comparable with the local one. */
interface ReceivedDigest {
  readonly digest: LoadDigest
  readonly receivedAt: number
}

/**
 * Mean load of a pool per unit of capacity, computed from the exact load of the endpoints that this router owns and
 * the digests of other routers. Endpoints covered by neither are excluded, which is equivalent to assuming the mean
 * load for them.
 */
export class PoolLoad {
  private readonly _options: PoolLoadOptions
  private readonly _owned = new Map<string, LoadSource>()
  private readonly _digests = new Map<string, ReceivedDigest>()
  private readonly _listeners = new Set<() => void>()

  /**
   * @param options identity of the router and the pool, clock and staleness limit
   */
  constructor (options: PoolLoadOptions) {
    this._options = options
  }

  /**
   * Adds an endpoint that this router owns.
   * @param endpoint name of the endpoint
   * @param source provides the current load and capacity of the endpoint
   */
  addOwned (endpoint: string, source: LoadSource): void {
    this._owned.set(endpoint, source)
  }

  /**
   * Removes an endpoint that this router no longer owns.
   * @param endpoint name of the endpoint
   */
  removeOwned (endpoint: string): void {
    this._owned.delete(endpoint)
  }

  /**
   * Records the digest of another router and notifies the listeners. Ignores digests of this router or of another
   * pool, out-of-order digests, and invalid loads or capacities.
   * @param digest digest as received
   */
  receive (digest: LoadDigest): void {
    if (digest.routerId === this._options.routerId || digest.pool !== this._options.pool) return
    if (!(digest.load >= 0) || !(digest.capacity >= 0)) return
    const known = this._digests.get(digest.routerId)
    if (known !== undefined && known.digest.time >= digest.time) return
    this._digests.set(digest.routerId, { digest, receivedAt: this._options.clock.now() })
    for (const listener of this._listeners) listener()
  }

  /**
   * Discards the digests of routers that are no longer relevant.
   * @param isRetained returns whether to retain the digest of a router, given its identifier
   */
  retain (isRetained: (routerId: string) => boolean): void {
    for (const routerId of this._digests.keys()) {
      if (!isRetained(routerId)) this._digests.delete(routerId)
    }
  }

  /** Returns the digest of this router's own endpoints. */
  digest (): LoadDigest {
    let load = 0
    let capacity = 0
    for (const source of this._owned.values()) {
      load += source.load
      capacity += source.capacity
    }
    return { routerId: this._options.routerId, pool: this._options.pool, load, capacity, time: this._options.clock.now() }
  }

  /** Returns the mean load of the pool per unit of capacity; 0 if no capacity is known. */
  mean (): number {
    const { load, capacity } = this.total()
    return capacity > 0 ? load / capacity : 0
  }

  /** Returns the total load and capacity of this router's endpoints and all digests that are not stale. */
  total (): { load: number, capacity: number } {
    let { load, capacity } = this.digest()
    const oldestReceivedAt = this._options.clock.now() - this._options.staleMs
    for (const [routerId, received] of this._digests) {
      if (received.receivedAt < oldestReceivedAt) {
        this._digests.delete(routerId)
        continue
      }
      load += received.digest.load
      capacity += received.digest.capacity
    }
    return { load, capacity }
  }

  /**
   * Adds a listener that is called after each accepted digest, when queued requests may have become admissible.
   * @param listener called without arguments
   * @returns a function that removes the listener
   */
  onDigest (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }
}
