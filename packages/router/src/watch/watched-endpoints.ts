import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import { CircuitBreaker } from '@mimosarock/placement/circuit-breaker.js'
import { CircuitState } from '@mimosarock/placement/circuit-state.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import { PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { CacheIndex } from '../contexts/cache-index.js'
import { EndpointAnnouncements } from './endpoint-announcements.js'
import type { EndpointHealth } from './endpoint-health.js'
import { EndpointWatch } from './endpoint-watch.js'
import type { LoadReport } from '../admission/load-report.js'
import { VmListWatch } from './vm-list-watch.js'
import type { WatchedEndpointsOptions } from './watched-endpoints-options.js'

/** Number of consecutive failures that opens the circuit of an endpoint; a timeout counts as two. */
const CIRCUIT_FAILURES = 5
/** Timeouts within this interval are assumed to have one cause and are counted once. */
const TIMEOUT_BURST_MS = 100
const CIRCUIT_OPEN_MS = 1_000
const CIRCUIT_MAXIMUM_OPEN_MS = 10_000
/** Changes of owners and configuration within this interval are processed together. */
const CHANGE_BATCH_MS = 20
/** Maximum wait for the next change of owners or configuration; a change ends the wait early. */
const MAXIMUM_CHANGE_WAIT_MS = 60_000

/** Endpoint owned and monitored by this router. */
interface OwnedEndpoint {
  readonly pool: string
  readonly endpoint: Endpoint
  readonly watch: EndpointWatch
  readonly stopped: AbortController
}

/** Receives the load reports of owned endpoints. */
type LoadListener = (pool: string, endpoint: string, report: LoadReport) => void

/**
 * State of all endpoints as known to this router. The router monitors the endpoints that it owns and announces their
 * failures to its peers through heartbeats. Whether any other endpoint has failed is derived from the announcements of
 * its owner and the outcomes of this router's own calls. Whether an endpoint is leaving is derived from the VM list, the
 * announcements of all routers, and the retirements in the configuration.
 */
export class WatchedEndpoints implements EndpointHealth {
  private readonly _options: WatchedEndpointsOptions
  private readonly _announcements: EndpointAnnouncements
  private readonly _vmListWatch: VmListWatch
  private readonly _owned = new Map<string, OwnedEndpoint>()
  private readonly _circuits = new Map<string, CircuitBreaker>()
  private readonly _loadListeners = new Set<LoadListener>()
  private readonly _endpoints = new Map<string, Endpoint>()
  private _indexedConfiguration: ConfigurationIndex | undefined
  private _changeController = new AbortController()
  private _dirty = true

  /**
   * @param options configuration, membership, owners and other dependencies
   */
  constructor (options: WatchedEndpointsOptions) {
    this._options = options
    const { configuration, membership, owners, vmList, clock, eventLog } = options
    this._announcements = new EndpointAnnouncements(membership.self.id, clock, () => membership.heartbeatNow())
    membership.addExtension(this._announcements)
    this._vmListWatch = new VmListWatch(vmList, membership, clock, eventLog, () => this._announce())
    owners.onChange(() => this._markChanged())
    configuration.onChange(() => this._markChanged())
    membership.onChange(() => this._announcements.retain(new Set(membership.live().map((router) => router.id))))
  }

  /**
   * Returns the availability of an endpoint; only a live endpoint accepts new calls. An unknown endpoint counts as
   * leaving.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  availability (pool: string, endpoint: string): EndpointAvailability {
    const found = this._find(pool, endpoint)
    if (found === undefined) return EndpointAvailability.LEAVING
    const failed = this._isFailed(pool, found)
    if (this._isLeaving(found) || this.isRetirementActive(pool, endpoint)) return EndpointAvailability.LEAVING
    return failed ? EndpointAvailability.FAILED : EndpointAvailability.LIVE
  }

  /**
   * Returns whether an operator has retired the endpoint and enough other endpoints of the pool are live. Other
   * retired endpoints do not count as live; otherwise two retirements could each rely on the endpoint of the other.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  isRetirementActive (pool: string, endpoint: string): boolean {
    const current = this._options.configuration.current()
    if (current?.isRetired(pool, endpoint) !== true) return false
    const minimum = current.retirementRulesByPool.get(pool)?.minimumLiveEndpoints ?? 0
    const endpoints = current.pools.get(pool)?.endpoints ?? []
    const live = endpoints.filter((other) => other.name !== endpoint && !current.isRetired(pool, other.name) &&
      !this._isLeaving(other) && !this._isFailed(pool, other))
    return live.length >= minimum
  }

  /**
   * Returns the most recent load report of an owned endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined before the first report and for endpoints that this router does not own
   */
  reportedLoad (pool: string, endpoint: string): LoadReport | undefined {
    return this._owned.get(keyOf(pool, endpoint))?.watch.reportedLoad
  }

  /**
   * Returns the contexts that an owned engine holds according to its cache events.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for endpoints that this router does not own
   */
  cacheIndex (pool: string, endpoint: string): CacheIndex | undefined {
    return this._owned.get(keyOf(pool, endpoint))?.watch.cache
  }

  /**
   * Registers a listener that is called after each load report of an owned endpoint.
   * @param listener receives pool name, endpoint name and report
   */
  onLoadReport (listener: LoadListener): void {
    this._loadListeners.add(listener)
  }

  /**
   * Records a successful call to an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  recordSuccess (pool: string, endpoint: string): void {
    this._updateCircuit(pool, endpoint, (circuit) => circuit.recordSuccess())
  }

  /**
   * Records a call that failed at an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  recordFailure (pool: string, endpoint: string): void {
    this._updateCircuit(pool, endpoint, (circuit) => circuit.recordFailure())
  }

  /**
   * Records a call whose endpoint sent no data before the timeout.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  recordTimeout (pool: string, endpoint: string): void {
    this._updateCircuit(pool, endpoint, (circuit) => circuit.recordTimeout())
  }

  /**
   * Monitors the owned endpoints until the signal aborts.
   * @param signal stops all tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this._vmListWatch.run(signal), this._followOwnership(signal)])
  }

  private async _followOwnership (signal: AbortSignal): Promise<void> {
    const clock = this._options.clock
    while (!signal.aborted) {
      if (this._dirty) this._updateWatches(signal)
      this._changeController = new AbortController()
      if (!this._dirty) await clock.sleep(MAXIMUM_CHANGE_WAIT_MS, AbortSignal.any([signal, this._changeController.signal]))
      await clock.sleep(CHANGE_BATCH_MS, signal)
    }
  }

  private _markChanged (): void {
    this._dirty = true
    this._changeController.abort()
  }

  /** Starts monitoring newly owned endpoints and stops monitoring those that this router no longer owns. */
  private _updateWatches (signal: AbortSignal): void {
    this._dirty = false
    const wanted = this._findOwned()
    for (const [key, owned] of this._owned) {
      if (wanted.get(key)?.endpoint.address === owned.endpoint.address) continue
      owned.stopped.abort()
      this._owned.delete(key)
    }
    for (const [key, { pool, endpoint }] of wanted) {
      if (!this._owned.has(key)) this._start(key, pool, endpoint, signal)
    }
    this._discardUnusedCircuits()
    this._announce()
  }

  private _findOwned (): Map<string, { pool: Pool, endpoint: Endpoint }> {
    const { configuration, owners, membership } = this._options
    const wanted = new Map<string, { pool: Pool, endpoint: Endpoint }>()
    for (const pool of configuration.current()?.configuration.pools ?? []) {
      for (const endpoint of pool.endpoints) {
        const ownedHere = owners.ownerOf(pool.name, endpoint.name)?.id === membership.self.id
        if (ownedHere) wanted.set(keyOf(pool.name, endpoint.name), { pool, endpoint })
      }
    }
    return wanted
  }

  private _start (key: string, pool: Pool, endpoint: Endpoint, signal: AbortSignal): void {
    const { clock, eventLog, traffic, connectTimeoutMs, pollMs } = this._options
    const watch = new EndpointWatch({
      address: endpoint.address,
      publishesCacheEvents: pool.kind === PoolKind.MODEL,
      clock,
      eventLog,
      traffic,
      connectTimeoutMs,
      pollMs,
      onLoadReport: (report) => {
        for (const listener of this._loadListeners) listener(pool.name, endpoint.name, report)
      },
      onProbe: (healthy) => this._recordProbe(endpoint.address, healthy)
    })
    const stopped = new AbortController()
    this._owned.set(key, { pool: pool.name, endpoint, watch, stopped })
    watch.run(AbortSignal.any([signal, stopped.signal]))
  }

  private _recordProbe (address: string, healthy: boolean): void {
    const circuit = this._circuits.get(address)
    const probesCircuit = circuit !== undefined && circuit.state === CircuitState.HALF_OPEN && circuit.tryAcquire()
    if (probesCircuit && healthy) circuit.recordSuccess()
    if (probesCircuit && !healthy) circuit.recordFailure()
    this._announce()
  }

  private _announce (): void {
    const failed = [...this._owned.values()].filter(({ pool, endpoint }) => this._isFailed(pool, endpoint))
    this._announcements.announce(failed.map(({ endpoint }) => endpoint.address), this._vmListWatch.leaving)
  }

  private _isLeaving (endpoint: Endpoint): boolean {
    return this._vmListWatch.leaving.includes(endpoint.address) || this._announcements.isLeaving(endpoint.address)
  }

  private _isFailed (pool: string, endpoint: Endpoint): boolean {
    const circuit = this._circuits.get(endpoint.address)
    const owned = this._owned.get(keyOf(pool, endpoint.name))
    if (owned !== undefined) return owned.watch.failed || (circuit !== undefined && circuit.state !== CircuitState.CLOSED)
    // At endpoints of other owners, the probes of the owner decide unless this router's own calls have opened the
    // circuit. A half-open circuit permits the next call, which serves as the probe.
    if (circuit?.state === CircuitState.OPEN) return true
    const owner = this._options.owners.ownerOf(pool, endpoint.name)
    return owner !== undefined && this._announcements.isFailed(owner.id, endpoint.address)
  }

  private _updateCircuit (pool: string, endpoint: string, record: (circuit: CircuitBreaker) => void): void {
    const address = this._find(pool, endpoint)?.address
    if (address === undefined) return
    const circuit = this._circuits.get(address) ?? new CircuitBreaker({
      failureThreshold: CIRCUIT_FAILURES,
      timeoutBurstMs: TIMEOUT_BURST_MS,
      openMs: CIRCUIT_OPEN_MS,
      maximumOpenMs: CIRCUIT_MAXIMUM_OPEN_MS,
      clock: this._options.clock
    })
    this._circuits.set(address, circuit)
    const wasClosed = circuit.state === CircuitState.CLOSED
    const ownedHere = this._owned.has(keyOf(pool, endpoint))
    // At endpoints of other owners, a call serves as the probe.
    if (!ownedHere && circuit.state === CircuitState.HALF_OPEN) circuit.tryAcquire()
    record(circuit)
    const isClosed = circuit.state === CircuitState.CLOSED
    if (wasClosed === isClosed) return
    this._options.eventLog.warn(isClosed ? 'circuit-closed' : 'circuit-opened', { endpoint: address })
    this._announce()
  }

  private _discardUnusedCircuits (): void {
    const pools = this._options.configuration.current()?.configuration.pools ?? []
    const addresses = new Set(pools.flatMap((pool) => pool.endpoints.map((endpoint) => endpoint.address)))
    for (const address of [...this._circuits.keys()]) {
      if (!addresses.has(address)) this._circuits.delete(address)
    }
  }

  private _find (pool: string, endpoint: string): Endpoint | undefined {
    const current = this._options.configuration.current()
    if (current !== this._indexedConfiguration) this._index(current)
    return this._endpoints.get(keyOf(pool, endpoint))
  }

  private _index (current: ConfigurationIndex | undefined): void {
    this._indexedConfiguration = current
    this._endpoints.clear()
    for (const pool of current?.configuration.pools ?? []) {
      for (const endpoint of pool.endpoints) this._endpoints.set(keyOf(pool.name, endpoint.name), endpoint)
    }
  }
}

function keyOf (pool: string, endpoint: string): string {
  return `${pool}/${endpoint}`
}
