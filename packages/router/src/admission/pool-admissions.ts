import type { Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import { EndpointAdmission } from '@mimosarock/placement/endpoint-admission.js'
import { HeldContexts } from '@mimosarock/placement/held-contexts.js'
import { PoolLoad } from '@mimosarock/placement/pool-load.js'
import type { EndpointAdmissionsOptions } from './endpoint-admissions-options.js'

/** Age at which another owner's load stops counting, in milliseconds. */
const DIGEST_STALE_MS = 5_000

/** How long an answer proves that the context is at the endpoint; cache events are known by then. */
const ANSWER_PROOF_MS = 15_000

/** One endpoint of a pool at this router. */
interface AdmittedEndpoint {
  readonly admission: EndpointAdmission
  readonly held: HeldContexts
  capacity: number
}

/** Admission at the endpoints of one pool, with the pool's load and bound. */
export class PoolAdmissions {
  /** The pool's load as this router knows it. */
  readonly load: PoolLoad
  private readonly _options: EndpointAdmissionsOptions
  private readonly _name: string
  private readonly _endpoints = new Map<string, AdmittedEndpoint>()
  private readonly _owned = new Set<string>()
  private _pool: Pool
  private _bound: AdmissionBound

  /**
   * @param pool the pool as configured
   * @param options what admission works with
   */
  constructor (pool: Pool, options: EndpointAdmissionsOptions) {
    this._options = options
    this._name = pool.name
    this._pool = pool
    this._bound = new AdmissionBound(pool.loadMultiple, pool.goal)
    this.load = new PoolLoad({ routerId: options.selfId(), pool: pool.name, clock: options.clock, staleMs: DIGEST_STALE_MS })
    this.load.onDigest(() => this._recheck())
  }

  /** The pool as configured. */
  get pool (): Pool {
    return this._pool
  }

  /** Names of the endpoints that this router owns. */
  get owned (): ReadonlySet<string> {
    return this._owned
  }

  /**
   * Takes a changed configuration or a changed set of owned endpoints.
   * @param pool the pool as configured now
   */
  update (pool: Pool): void {
    if (pool !== this._pool) this._bound = new AdmissionBound(pool.loadMultiple, pool.goal)
    this._pool = pool
    const self = this._options.selfId()
    const names = new Set<string>()
    for (const endpoint of pool.endpoints) {
      names.add(endpoint.name)
      if (this._options.owners.ownerOf(pool.name, endpoint.name)?.id === self) this._own(endpoint.name)
      else this._disown(endpoint.name)
    }
    for (const name of this._endpoints.keys()) {
      if (names.has(name)) continue
      this._disown(name)
      this._endpoints.delete(name)
    }
    this._recheck()
  }

  /**
   * Admission of an endpoint, made when it is first needed.
   * @param endpoint name of the endpoint
   */
  admissionOf (endpoint: string): EndpointAdmission {
    return this._entryOf(endpoint).admission
  }

  /**
   * Contexts that an endpoint is believed to hold.
   * @param endpoint name of the endpoint
   */
  heldAt (endpoint: string): HeldContexts {
    return this._entryOf(endpoint).held
  }

  private _own (endpoint: string): void {
    if (this._owned.has(endpoint)) return
    this._owned.add(endpoint)
    // Looked up at each reading: a change of the endpoint's capacity puts another admission in its place.
    const admission = (): EndpointAdmission => this._entryOf(endpoint).admission
    const isAvailable = (): boolean => this._options.isAvailable(this._name, endpoint)
    // An endpoint that takes no work is no part of the mean.
    this.load.addOwned(endpoint, {
      get load () { return isAvailable() ? admission().load : 0 },
      get capacity () { return isAvailable() ? admission().capacity : 0 }
    })
  }

  private _disown (endpoint: string): void {
    if (!this._owned.delete(endpoint)) return
    this.load.removeOwned(endpoint)
    // Its next owner reads its cache events; what is known here grows stale.
    this._endpoints.get(endpoint)?.held.clear()
  }

  private _entryOf (endpoint: string): AdmittedEndpoint {
    const capacity = this._pool.endpoints.find((candidate) => candidate.name === endpoint)?.capacity ?? 0
    const known = this._endpoints.get(endpoint)
    if (known !== undefined && known.capacity === capacity) return known
    const entry: AdmittedEndpoint = {
      capacity,
      held: known?.held ?? new HeldContexts(this._options.maximumHeldContexts, ANSWER_PROOF_MS, this._options.clock),
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

  private _recheck (): void {
    for (const { admission } of this._endpoints.values()) {
      if (admission.queued > 0) admission.admitQueued()
    }
  }
}
