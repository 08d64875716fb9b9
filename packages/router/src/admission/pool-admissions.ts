import type { Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import { EndpointAdmission } from '@mimosarock/placement/endpoint-admission.js'
import { HeldContexts } from '@mimosarock/placement/held-contexts.js'
import { PoolLoad } from '@mimosarock/placement/pool-load.js'
import type { EndpointAdmissionsOptions } from './endpoint-admissions-options.js'

/** Age at which another owner's load digest is discarded, in milliseconds. */
const DIGEST_LIFETIME_MS = 5_000

/**
 * Time for which a response is evidence that the endpoint holds the context, in milliseconds. By then the endpoint's
 * cache events for that response have arrived.
 */
const ANSWERED_CONTEXT_LIFETIME_MS = 15_000

/** Admission state of one endpoint. */
interface EndpointAdmissionState {
  readonly admission: EndpointAdmission
  readonly heldContexts: HeldContexts
  capacity: number
}

/** Admission at the endpoints of one pool, limited by the pool's mean load and its load multiple. */
export class PoolAdmissions {
  /** The pool's load: exact for the endpoints owned by this router, from load digests for all others. */
  readonly load: PoolLoad
  private readonly _options: EndpointAdmissionsOptions
  private readonly _name: string
  private readonly _endpoints = new Map<string, EndpointAdmissionState>()
  private readonly _owned = new Set<string>()
  private _pool: Pool
  private _bound: AdmissionBound

  /**
   * @param pool configuration of the pool
   * @param options dependencies and limits
   */
  constructor (pool: Pool, options: EndpointAdmissionsOptions) {
    this._options = options
    this._name = pool.name
    this._pool = pool
    this._bound = new AdmissionBound(pool.loadMultiple, pool.goal)
    this.load = new PoolLoad({ routerId: options.selfId(), pool: pool.name, clock: options.clock, staleMs: DIGEST_LIFETIME_MS })
    this.load.onDigest(() => this._recheckQueues())
  }

  /** Current configuration of the pool. */
  get pool (): Pool {
    return this._pool
  }

  /** Names of the endpoints that this router owns. */
  get owned (): ReadonlySet<string> {
    return this._owned
  }

  /**
   * Applies a change of the pool's configuration or of the owners of its endpoints.
   * @param pool current configuration of the pool
   */
  update (pool: Pool): void {
    if (pool !== this._pool) this._bound = new AdmissionBound(pool.loadMultiple, pool.goal)
    this._pool = pool
    const self = this._options.selfId()
    const names = new Set<string>()
    for (const endpoint of pool.endpoints) {
      names.add(endpoint.name)
      if (this._options.owners.ownerOf(pool.name, endpoint.name)?.id === self) this._addOwned(endpoint.name)
      else this._removeOwned(endpoint.name)
    }
    for (const name of this._endpoints.keys()) {
      if (names.has(name)) continue
      this._removeOwned(name)
      this._endpoints.delete(name)
    }
    this._recheckQueues()
  }

  /**
   * Returns the admission state of an endpoint, which is created on first use.
   * @param endpoint name of the endpoint
   */
  admissionOf (endpoint: string): EndpointAdmission {
    return this._entryOf(endpoint).admission
  }

  /**
   * Returns the contexts that an endpoint is presumed to hold.
   * @param endpoint name of the endpoint
   */
  heldContextsOf (endpoint: string): HeldContexts {
    return this._entryOf(endpoint).heldContexts
  }

  private _addOwned (endpoint: string): void {
    if (this._owned.has(endpoint)) return
    this._owned.add(endpoint)
    // Looked up at every read, because a change of the endpoint's capacity replaces the admission object.
    const admission = (): EndpointAdmission => this._entryOf(endpoint).admission
    const isAvailable = (): boolean => this._options.isAvailable(this._name, endpoint)
    // An endpoint that accepts no calls is excluded from the pool's mean load.
    this.load.addOwned(endpoint, {
      get load () { return isAvailable() ? admission().load : 0 },
      get capacity () { return isAvailable() ? admission().capacity : 0 }
    })
  }

  private _removeOwned (endpoint: string): void {
    if (!this._owned.delete(endpoint)) return
    this.load.removeOwned(endpoint)
    // The next owner reads the endpoint's cache events; the contexts recorded by this router become stale.
    this._endpoints.get(endpoint)?.heldContexts.clear()
  }

  private _entryOf (endpoint: string): EndpointAdmissionState {
    const capacity = this._pool.endpoints.find((candidate) => candidate.name === endpoint)?.capacity ?? 0
    const known = this._endpoints.get(endpoint)
    if (known !== undefined && known.capacity === capacity) return known
    const entry: EndpointAdmissionState = {
      capacity,
      heldContexts: known?.heldContexts ?? new HeldContexts(this._options.maximumHeldContexts, ANSWERED_CONTEXT_LIFETIME_MS, this._options.clock),
      admission: new EndpointAdmission({
        endpoint,
        capacity,
        limit: (hasContext) => this._bound.limit(this.load.mean(), capacity, hasContext),
        maximumQueued: this._options.maximumQueued,
        clock: this._options.clock
      })
    }
    this._endpoints.set(endpoint, entry)
    return entry
  }

  private _recheckQueues (): void {
    for (const { admission } of this._endpoints.values()) {
      if (admission.queued > 0) admission.admitQueued()
    }
  }
}
