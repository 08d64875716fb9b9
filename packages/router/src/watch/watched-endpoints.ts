import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import { CircuitBreaker } from '@mimosarock/placement/circuit-breaker.js'
import { CircuitState } from '@mimosarock/placement/circuit-state.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import { PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { CacheKnowledge } from '../contexts/cache-knowledge.js'
import { EndpointAnnouncements } from './endpoint-announcements.js'
import type { EndpointHealth } from './endpoint-health.js'
import { EndpointWatch } from './endpoint-watch.js'
import type { LoadReport } from '../admission/load-report.js'
import { VmListWatch } from './vm-list-watch.js'
import type { WatchedEndpointsOptions } from './watched-endpoints-options.js'

/** Failures in a row that open an endpoint's circuit. */
const CIRCUIT_FAILURES = 5
/** Silences that come so close together have one cause. */
const SILENCE_BURST_MS = 100
const CIRCUIT_OPEN_MS = 1_000
const CIRCUIT_MAXIMUM_OPEN_MS = 10_000
/** Changes of owners and configuration that come together are followed once. */
const GATHER_MS = 20
const IDLE_MS = 60_000

/** One endpoint that this router owns and watches. */
interface OwnedEndpoint {
  readonly pool: string
  readonly endpoint: Endpoint
  readonly watch: EndpointWatch
  readonly ended: AbortController
}

/** Gets an owned endpoint's load reports. */
type LoadListener = (pool: string, endpoint: string, report: LoadReport) => void

/**
 * What this router knows of every endpoint. It watches those that it owns and tells the others through
 * heartbeats; of the rest it knows what their owners tell, what its own calls met, and the configuration.
 */
export class WatchedEndpoints implements EndpointHealth {
  private readonly _options: WatchedEndpointsOptions
  private readonly _announcements: EndpointAnnouncements
  private readonly _vmListWatch: VmListWatch
  private readonly _owned = new Map<string, OwnedEndpoint>()
  private readonly _circuits = new Map<string, CircuitBreaker>()
  private readonly _loadListeners = new Set<LoadListener>()
  private readonly _endpoints = new Map<string, Endpoint>()
  private _indexed: ConfigurationIndex | undefined
  private _changed = new AbortController()
  private _dirty = true

  /**
   * @param options what the watch works with
   */
  constructor (options: WatchedEndpointsOptions) {
    this._options = options
    const { configuration, membership, owners, vmList, clock, eventLog } = options
    this._announcements = new EndpointAnnouncements(membership.self.id, clock, () => membership.heartbeatNow())
    membership.addExtension(this._announcements)
    this._vmListWatch = new VmListWatch(vmList, membership, clock, eventLog, () => this._announce())
    owners.onChange(() => this._noteChange())
    configuration.onChange(() => this._noteChange())
    membership.onChange(() => this._announcements.retain(new Set(membership.live().map((router) => router.id))))
  }

  /**
   * Whether the endpoint may get new work.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  availability (pool: string, endpoint: string): EndpointAvailability {
    const found = this._find(pool, endpoint)
    if (found === undefined) return EndpointAvailability.LEAVING
    const failed = this._isFailed(pool, found)
    if (this._isLeaving(found) || this.retirementRuns(pool, endpoint)) return EndpointAvailability.LEAVING
    return failed ? EndpointAvailability.FAILED : EndpointAvailability.LIVE
  }

  /**
   * Whether an operator retires the endpoint and enough other endpoints of the pool are live. Endpoints that are
   * to retire too do not count, so two retirements can't each rest on the other's endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  retirementRuns (pool: string, endpoint: string): boolean {
    const current = this._options.configuration.current()
    if (current?.isRetired(pool, endpoint) !== true) return false
    const minimum = current.retirementRulesByPool.get(pool)?.minimumLiveEndpoints ?? 0
    const others = current.pools.get(pool)?.endpoints ?? []
    const live = others.filter((other) => other.name !== endpoint && !current.isRetired(pool, other.name) &&
      !this._isLeaving(other) && !this._isFailed(pool, other))
    return live.length >= minimum
  }

  /**
   * The last load report of an owned endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined before the first, and for endpoints of other owners
   */
  reportedLoad (pool: string, endpoint: string): LoadReport | undefined {
    return this._owned.get(keyOf(pool, endpoint))?.watch.reportedLoad
  }

  /**
   * Which contexts an owned engine holds.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for endpoints of other owners
   */
  cacheKnowledge (pool: string, endpoint: string): CacheKnowledge | undefined {
    return this._owned.get(keyOf(pool, endpoint))?.watch.cache
  }

  /**
   * Calls back after each load report of an owned endpoint.
   * @param listener gets the report
   */
  onLoadReport (listener: LoadListener): void {
    this._loadListeners.add(listener)
  }

  /**
   * Notes a call that the endpoint answered.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  noteSuccess (pool: string, endpoint: string): void {
    this._withCircuit(pool, endpoint, (circuit) => circuit.recordSuccess())
  }

  /**
   * Notes a call that the endpoint failed.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  noteFailure (pool: string, endpoint: string): void {
    this._withCircuit(pool, endpoint, (circuit) => circuit.recordFailure())
  }

  /**
   * Notes a call on which the endpoint fell silent.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  noteSilence (pool: string, endpoint: string): void {
    this._withCircuit(pool, endpoint, (circuit) => circuit.recordTimeout())
  }

  /**
   * Watches the owned endpoints until the signal aborts.
   * @param signal ends all tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this._vmListWatch.run(signal), this._follow(signal)])
  }

  private async _follow (signal: AbortSignal): Promise<void> {
    const clock = this._options.clock
    while (!signal.aborted) {
      if (this._dirty) this._watchOwned(signal)
      this._changed = new AbortController()
      if (!this._dirty) await clock.sleep(IDLE_MS, AbortSignal.any([signal, this._changed.signal]))
      await clock.sleep(GATHER_MS, signal)
    }
  }

  private _noteChange (): void {
    this._dirty = true
    this._changed.abort()
  }

  /** Starts watches of endpoints that became this router's and ends those of endpoints that no longer are. */
  private _watchOwned (signal: AbortSignal): void {
    this._dirty = false
    const wanted = this._configuredHere()
    for (const [key, owned] of this._owned) {
      if (wanted.get(key)?.endpoint.address === owned.endpoint.address) continue
      owned.ended.abort()
      this._owned.delete(key)
    }
    for (const [key, { pool, endpoint }] of wanted) {
      if (!this._owned.has(key)) this._start(key, pool, endpoint, signal)
    }
    this._forgetCircuits()
    this._announce()
  }

  private _configuredHere (): Map<string, { pool: Pool, endpoint: Endpoint }> {
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
      onProbe: (healthy) => this._noteProbe(endpoint.address, healthy)
    })
    const ended = new AbortController()
    this._owned.set(key, { pool: pool.name, endpoint, watch, ended })
    watch.run(AbortSignal.any([signal, ended.signal]))
  }

  private _noteProbe (address: string, healthy: boolean): void {
    const circuit = this._circuits.get(address)
    const mayClose = circuit !== undefined && circuit.state === CircuitState.HALF_OPEN && circuit.tryAcquire()
    if (mayClose && healthy) circuit.recordSuccess()
    if (mayClose && !healthy) circuit.recordFailure()
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
    // Another owner's probes decide; a circuit of this router's own calls lets the next one try.
    if (circuit?.state === CircuitState.OPEN) return true
    const owner = this._options.owners.ownerOf(pool, endpoint.name)
    return owner !== undefined && this._announcements.isFailed(owner.id, endpoint.address)
  }

  private _withCircuit (pool: string, endpoint: string, note: (circuit: CircuitBreaker) => void): void {
    const address = this._find(pool, endpoint)?.address
    if (address === undefined) return
    const circuit = this._circuits.get(address) ?? new CircuitBreaker({
      failureThreshold: CIRCUIT_FAILURES,
      timeoutBurstMs: SILENCE_BURST_MS,
      openMs: CIRCUIT_OPEN_MS,
      maximumOpenMs: CIRCUIT_MAXIMUM_OPEN_MS,
      clock: this._options.clock
    })
    this._circuits.set(address, circuit)
    const wasClosed = circuit.state === CircuitState.CLOSED
    const ownedHere = this._owned.has(keyOf(pool, endpoint))
    // At endpoints of other owners a call is the probe.
    if (!ownedHere && circuit.state === CircuitState.HALF_OPEN) circuit.tryAcquire()
    note(circuit)
    const isClosed = circuit.state === CircuitState.CLOSED
    if (wasClosed === isClosed) return
    this._options.eventLog.warn(isClosed ? 'circuit-closed' : 'circuit-opened', { endpoint: address })
    this._announce()
  }

  private _forgetCircuits (): void {
    const pools = this._options.configuration.current()?.configuration.pools ?? []
    const addresses = new Set(pools.flatMap((pool) => pool.endpoints.map((endpoint) => endpoint.address)))
    for (const address of [...this._circuits.keys()]) {
      if (!addresses.has(address)) this._circuits.delete(address)
    }
  }

  private _find (pool: string, endpoint: string): Endpoint | undefined {
    const current = this._options.configuration.current()
    if (current !== this._indexed) this._index(current)
    return this._endpoints.get(keyOf(pool, endpoint))
  }

  private _index (current: ConfigurationIndex | undefined): void {
    this._indexed = current
    this._endpoints.clear()
    for (const pool of current?.configuration.pools ?? []) {
      for (const endpoint of pool.endpoints) this._endpoints.set(keyOf(pool.name, endpoint.name), endpoint)
    }
  }
}

function keyOf (pool: string, endpoint: string): string {
  return `${pool}/${endpoint}`
}
