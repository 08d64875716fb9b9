import type { LoadDigest } from './load-digest.js'
import type { LoadSource } from './load-source.js'
import type { PoolLoadOptions } from './pool-load-options.js'

/** A digest with the local time of its arrival; senders' clocks can't be compared with this one. */
interface ReceivedDigest {
  readonly digest: LoadDigest
  readonly receivedAt: number
}

/**
 * Mean load of a pool for each unit of capacity: exact for the endpoints that this router owns, by digest for
 * the others'. Endpoints that nobody reports count as loaded like the mean of the rest.
 */
export class PoolLoad {
  private readonly _options: PoolLoadOptions
  private readonly _own = new Map<string, LoadSource>()
  private readonly _digests = new Map<string, ReceivedDigest>()
  private readonly _listeners = new Set<() => void>()

  /**
   * @param options what the load works with
   */
  constructor (options: PoolLoadOptions) {
    this._options = options
  }

  /**
   * Counts an endpoint that this router owns.
   * @param endpoint name of the endpoint
   * @param source its exact load
   */
  addOwned (endpoint: string, source: LoadSource): void {
    this._own.set(endpoint, source)
  }

  /**
   * Stops counting an endpoint.
   * @param endpoint name of the endpoint
   */
  removeOwned (endpoint: string): void {
    this._own.delete(endpoint)
  }

  /**
   * Takes another router's digest. Its own, another pool's and one that is older than the last are ignored.
   * @param digest the digest
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
   * Forgets digests.
   * @param isKept tells of a router whether its digest is kept
   */
  retain (isKept: (routerId: string) => boolean): void {
    for (const routerId of this._digests.keys()) {
      if (!isKept(routerId)) this._digests.delete(routerId)
    }
  }

  /** What this router tells the others. */
  digest (): LoadDigest {
    let load = 0
    let capacity = 0
    for (const source of this._own.values()) {
      load += source.load
      capacity += source.capacity
    }
    return { routerId: this._options.routerId, pool: this._options.pool, load, capacity, time: this._options.clock.now() }
  }

  /** Load for each unit of capacity over the pool; 0 if nothing is known. */
  mean (): number {
    const { load, capacity } = this.total()
    return capacity > 0 ? load / capacity : 0
  }

  /** Sums over this router's endpoints and all digests that are not stale. */
  total (): { load: number, capacity: number } {
    let { load, capacity } = this.digest()
    const oldest = this._options.clock.now() - this._options.staleMs
    for (const [routerId, received] of this._digests) {
      if (received.receivedAt < oldest) {
        this._digests.delete(routerId)
        continue
      }
      load += received.digest.load
      capacity += received.digest.capacity
    }
    return { load, capacity }
  }

  /**
   * Calls back after each digest that was taken, when waiting requests may have become admissible.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onDigest (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }
}
