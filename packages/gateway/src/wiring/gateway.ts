import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import type { Server } from 'node:http'
import { ProcessPressure } from '../admission/process-pressure.js'
import { RouteTimes } from '../admission/route-times.js'
import { AdmissionPaths } from '../caller/admission-paths.js'
import { createConfigurationAgeLimits } from '../caller/create-configuration-age-limits.js'
import { createCallerServer } from '../caller/create-caller-server.js'
import { createReadinessServer } from '../caller/create-readiness-server.js'
import { UnknownZoneWarning } from '../evacuation/unknown-zone-warning.js'
import { ConfigurationArrivals } from '../caller/configuration-arrivals.js'
import { CurrentHomes } from '../caller/current-homes.js'
import { HomeRegionWarnings } from '../homes/home-region-warnings.js'
import { HomeRegions } from '../homes/home-regions.js'
import type { GatewayState } from '../model/gateway-state.js'
import type { RequestDependencies } from '../caller/request-dependencies.js'
import { LiveRequests } from '../caller/live-requests.js'
import { StartupGate } from '../caller/startup-gate.js'
import { EventLoopMeter } from '../caller/event-loop-meter.js'
import { EndpointSelector } from '../choice/endpoint-selector.js'
import { EndpointHealth } from '../choice/endpoint-health.js'
import { EndlessEndpoints } from '../choice/endless-endpoints.js'
import { EndpointPauses } from '../choice/endpoint-pauses.js'
import { GracefulShutdown } from '../shutdown/graceful-shutdown.js'
import type { FleetState } from '../membership/fleet-state.js'
import { HeldBytes } from '../memory/held-bytes.js'
import { PeerRpcClient } from '../membership/peer-rpc-client.js'
import { createPeerRpcServer } from '../membership/create-peer-rpc-server.js'
import type { RouterKnowledge } from '../membership/router-knowledge.js'
import { SyncServer } from '../membership/sync-server.js'
import { CrashDetector } from '../quarantine/crash-detector.js'
import { FleetRetryBudgets } from '../retries/fleet-retry-budgets.js'
import { EndpointConnections } from '../sending/endpoint-connections.js'
import { ProcessStalls } from '../responses/process-stalls.js'
import { ReadPacer } from '../sending/read-pacer.js'
import { refusesConnections } from '../sending/refuses-connections.js'
import { StallWatch } from '../sending/stall-watch.js'
import type { GatewaySettings } from '../settings/gateway-settings.js'
import { LiveSettings } from '../settings/live-settings.js'
import { createMetricsServer } from '../status/create-metrics-server.js'
import { GatewayMetrics } from '../status/gateway-metrics.js'
import { createAdmissions } from './create-admissions.js'
import { createFleetState } from './create-fleet-state.js'
import { FleetTasks } from './fleet-tasks.js'
import type { GatewayOptions } from './gateway-options.js'
import { listenAt } from './listen-at.js'
import { SlotGranting } from './slot-granting.js'

/** File descriptors reserved for uses other than connections to endpoints. */
const RESERVED_DESCRIPTORS = 1_000
/** Maximum connections to an endpoint if the configuration has no entry for its service. */
const DEFAULT_MAXIMUM_CONNECTIONS = 64

/**
 * A router process. Accepts callers' requests, sends each directly to the endpoint that suits it best, and shares
 * the state of endpoints, loads and configuration with the other routers of the fleet.
 */
export class Gateway {
  private readonly _options: GatewayOptions
  private readonly _settings: LiveSettings
  private readonly _stopping = new AbortController()
  private readonly _state: GatewayState = { isStopping: false, stopDeadline: undefined, requestsInFlight: 0 }
  private readonly _metrics = new GatewayMetrics()
  private readonly _connections = new EndpointConnections(() => this._settings.current.maximumResponseBytes)
  private readonly _peerClient = new PeerRpcClient((bytes) => this._metrics.peerBytesReceived.inc(bytes))
  private readonly _fleetState: FleetState
  private readonly _unknownZoneWarning: UnknownZoneWarning
  private readonly _stallWatch = new StallWatch()
  private readonly _stalls: ProcessStalls
  private readonly _health: EndpointHealth
  private readonly _pauses: EndpointPauses
  private readonly _homeRegions: HomeRegions
  private readonly _heldBytes: HeldBytes
  private readonly _liveRequests = new LiveRequests()
  private readonly _retryBudgets: FleetRetryBudgets
  private readonly _servers: Server[] = []
  private readonly _startupGate = new StartupGate()
  private readonly _tasks: FleetTasks
  private readonly _slotGranting: SlotGranting
  private _callerServer: Server | undefined

  /**
   * @param options settings, and the components that depend on the platform
   */
  constructor (options: GatewayOptions) {
    this._options = options
    // Each background task waits for it; Node.js would warn of a leak.
    setMaxListeners(0, this._stopping.signal)
    const { clock, log, settings } = options
    this._settings = new LiveSettings(settings)
    options.store.onCall(({ topic, operation }) => this._metrics.storeCalls.inc({ topic, operation }))
    this._pauses = new EndpointPauses(clock)
    this._stalls = new ProcessStalls(clock)
    this._fleetState = createFleetState({ name: settings.name, availabilityZone: settings.availabilityZone, address: settings.peers }, options.store.era, clock, log, Math.random, () => {
      const { warmUpOverage: overage, warmUpTolerance: tolerance } = this._settings.current
      return { overage, tolerance }
    })
    this._unknownZoneWarning = new UnknownZoneWarning(this._fleetState.evacuations, (zone) => this._isZoneKnown(zone), log)
    this._fleetState.evacuations.listen({
      zoneEvacuated: () => undefined,
      zoneRestored: (zone) => this._fleetState.warmUps.presumeZoneCold(zone)
    })
    const { outliers } = this._fleetState
    outliers.enableWhile(() => this._settings.current.ejectsOutliers)
    this._health = new EndpointHealth(clock, (endpointId) => this._stallWatch.isSilent(endpointId), (endpointId) => outliers.isEjected(endpointId))
    this._tasks = new FleetTasks({
      state: this._fleetState,
      store: options.store,
      peerClient: this._peerClient,
      seeds: settings.seeds,
      propagationBounds: () => this._settings.current.propagationBounds,
      clock,
      log,
      onProgress: () => this._openGateWhenReady()
    })
    this._heldBytes = new HeldBytes(settings)
    this._retryBudgets = new FleetRetryBudgets(() => {
      const { retryRatio: ratio, retryAllowance: allowance, retryWindowMs: windowMs } = this._settings.current
      return { ratio, allowance, windowMs }
    }, clock, () => this._fleetState.routers.size)
    this._homeRegions = new HomeRegions(settings)
    this._warnOfHomeRegions()
    this._slotGranting = new SlotGranting({
      state: this._fleetState,
      availableEndpoints: (service) => this._pauses.withoutPaused(this._fleetState.endpoints.ready(service)),
      isEnabled: () => this._settings.current.grantsSlots,
      loadBoundFactor: () => this._settings.current.loadBoundFactor,
      clock,
      log,
      metrics: this._metrics
    })
    this._fleetState.endpoints.listen({
      endpointRestarted: (entry) => this._fleetState.holders.removeEndpoint(entry.id),
      endpointRemoved: (entry) => {
        this._connections.close(entry.id)
        this._fleetState.permits.remove(entry.id)
      },
      endpointExpired: (entry) => this._fleetState.holders.removeEndpoint(entry.id)
    })
  }

  /** Starts the servers and the background tasks. Resolves when callers can connect. */
  async start (): Promise<void> {
    const { settings, log, clock } = this._options
    for (const tasks of [this._tasks, this._slotGranting, this._stalls]) {
      tasks.run(this._stopping.signal).catch((error: Error) => log.warn('background-task-failed', { problem: error.stack }))
    }
    const sync = new SyncServer(this._fleetState, randomUUID(), () => clock.now(), () => this._tasks.distance, () => this._tasks.isStoreFailing)
    const callerServer = createCallerServer(this._requestDependencies())
    this._callerServer = callerServer
    const peerServer = createPeerRpcServer(sync, () => this._knowledgeOf(sync), (bytes) => this._metrics.peerBytesSent.inc(bytes))
    this._slotGranting.attach(peerServer)
    await Promise.all([
      this._listenForCallers(callerServer),
      this._listen(createReadinessServer(this._options.codec.readinessPath, () => !this._state.isStopping && this._startupGate.isOpen), settings.readiness),
      this._listen(peerServer, settings.peers),
      settings.metrics === undefined ? undefined : this._listen(createMetricsServer(this._metrics, this._fleetState, clock, this._state, this._heldBytes, () => this._slotGranting.ownedServices), settings.metrics)
    ])
    log.info('started', {
      vm: settings.name, callers: settings.callers, peers: settings.peers, since_process_start_ms: Math.round(performance.now())
    })
  }

  /** Drains the router with a {@link GracefulShutdown}, then closes all servers and connections. */
  async stop (): Promise<void> {
    const { log } = this._options
    await new GracefulShutdown({
      server: this._callerServer as Server,
      state: this._state,
      graceMs: this._settings.current.stopGraceMs,
      onStopDeadline: () => this._liveRequests.limitToStop(),
      unsentResponses: () => this._heldBytes.unsentResponses
    }, log).run()
    this._stopping.abort()
    for (const server of this._servers) server.close()
    this._connections.closeAll()
    await this._peerClient.close()
  }

  /**
   * Applies changed settings, except those that need a restart, without interrupting requests.
   * @param settings settings that were just read from the file
   */
  reload (settings: GatewaySettings): void {
    const { applied, atNextStart } = this._settings.replace(settings)
    this._options.log.info('reloaded', { applied: applied.join(',') || 'none', at_next_start: atNextStart.join(',') || 'none' })
  }

  private _requestDependencies (): RequestDependencies {
    const { clock, log, codec } = this._options
    const { configuration, endpoints, loads, holders, limits, outliers, permits, quarantine, warmUps } = this._fleetState
    const pressure = new ProcessPressure(clock, log)
    const admissions = createAdmissions({
      state: this._fleetState,
      health: this._health,
      pauses: this._pauses,
      homeRegions: this._homeRegions,
      pressure,
      clock,
      onPermits: (count) => this._metrics.permitsReceived.inc(count)
    })
    const endpointSelector = this._createEndpointSelector()
    const { client, reportedLoads } = this._slotGranting
    return {
      admissions,
      admissionPaths: new AdmissionPaths({ admissions, endpointSelector, slotClient: client, endpoints, health: this._health, permits, clock }),
      reportedLoads,
      routeTimes: new RouteTimes(),
      eventLoopMeter: new EventLoopMeter(pressure, this._state),
      clock,
      log,
      codec,
      configuration,
      configurationArrivals: new ConfigurationArrivals(configuration),
      loads,
      holders,
      endlessEndpoints: new EndlessEndpoints(this._pauses, clock),
      startupGate: this._startupGate,
      currentHomes: new CurrentHomes(this._homeRegions, configuration),
      endpoints,
      pauses: this._pauses,
      limits,
      permits,
      warmUps,
      health: this._health,
      outliers,
      stallWatch: this._stallWatch,
      quarantine,
      crashDetector: new CrashDetector({
        refusesConnections,
        onCrash: (endpoint, calls) => {
          this._metrics.endpointCrashes.inc({ service: endpoint.service })
          quarantine.recordCrash(endpoint, calls)
        }
      }),
      endpointSelector,
      connections: this._connections,
      stalls: this._stalls,
      readPacer: new ReadPacer(() => performance.now()),
      heldBytes: this._heldBytes,
      liveRequests: this._liveRequests,
      metrics: this._metrics,
      state: this._state,
      isFleetLarge: () => this._fleetState.routers.isLarge,
      configurationAgeLimits: () => createConfigurationAgeLimits(this._settings.current),
      retryBudgetOf: (service) => this._retryBudgets.get(service),
      maximumConnectionsOf: (service) => this._connectionsOf(service)
    }
  }

  private _warnOfHomeRegions (): void {
    const warnings = new HomeRegionWarnings(this._homeRegions, this._options.log)
    this._fleetState.configuration.onInForce((configuration) => {
      warnings.check(configuration)
      this._metrics.unknownHomeRegions.set(warnings.unknownRegionCount)
    })
  }

  private _createEndpointSelector (): EndpointSelector {
    const { endpoints, loads, holders, outliers, permits, warmUps } = this._fleetState
    return new EndpointSelector({
      endpoints,
      loads,
      holders,
      health: this._health,
      outliers,
      pauses: this._pauses,
      permits,
      warmUps,
      availabilityZone: this._options.settings.availabilityZone,
      isFleetLarge: () => this._fleetState.routers.isLarge,
      routerCount: () => this._fleetState.routers.size,
      random: Math.random,
      loadBoundFactor: () => this._settings.current.loadBoundFactor
    })
  }

  /**
   * Returns the maximum number of connections in each of the two pools of an endpoint: this router's equal share of the
   * endpoint's connections, limited by the file descriptors of the process, but at least 2.
   */
  private _connectionsOf (service: string): number {
    const { configuration, routers, endpoints } = this._fleetState
    const maximum = configuration.inForce?.service(service)?.maximumConnections ?? DEFAULT_MAXIMUM_CONNECTIONS
    const descriptors = this._options.settings.fileDescriptors - RESERVED_DESCRIPTORS
    const descriptorsPerPool = Math.floor(descriptors / Math.max(1, endpoints.ready(service).length * 2))
    return Math.max(2, Math.min(Math.floor(maximum / routers.size), descriptorsPerPool))
  }

  private _knowledgeOf (server: SyncServer): RouterKnowledge {
    return server.knowledge({ isReader: this._tasks.isReader, source: this._tasks.source ?? null })
  }

  private _openGateWhenReady (): void {
    const { configuration, endpointsFreshness, evacuations } = this._fleetState
    if (endpointsFreshness.verifiedAt > -Infinity) this._unknownZoneWarning.check()
    if (this._startupGate.isOpen || !this._tasks.hasAskedSeeds) return
    if (configuration.inForce === undefined || !evacuations.isKnown || endpointsFreshness.verifiedAt === -Infinity) return
    this._startupGate.open()
    this._options.log.info('ready', { version: configuration.version })
  }

  private _isZoneKnown (zone: string): boolean {
    const { endpoints, routers } = this._fleetState
    return [...endpoints.entries, ...routers.inReaderOrder()].some(({ availabilityZone }) => availabilityZone === zone)
  }

  private async _listenForCallers (server: Server): Promise<void> {
    const { earlyListener, settings } = this._options
    if (earlyListener === undefined) return await this._listen(server, settings.callers)
    this._servers.push(server)
    await earlyListener.handOver(server)
  }

  private async _listen (server: Server, address: string): Promise<void> {
    this._servers.push(server)
    await listenAt(server, address)
  }
}
