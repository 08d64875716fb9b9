import { randomBytes } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import { PeerConnections } from '@mimosarock/coordination/membership/peer-connections.js'
import { PeerMethods } from '@mimosarock/coordination/membership/peer-methods.js'
import { PeerServer } from '@mimosarock/coordination/membership/peer-server.js'
import { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { PoolOrder } from '../entry/pool-order.js'
import { ForwardServer } from '../forward/forward-server.js'
import { OwnerDispatch } from '../forward/owner-dispatch.js'
import { SuspectOwners } from '../forward/suspect-owners.js'
import { HttpStatusCall } from '../operations/http-status-call.js'
import { StatusSettler } from '../operations/status-settler.js'
import { ConfiguredOwners } from '../owner/configured-owners.js'
import { OwnedEndpointDispatch } from '../owner/owned-endpoint-dispatch.js'
import { UnboundedAdmission } from '../admission/unbounded-admission.js'
import { EndpointClients } from '../watch/endpoint-clients.js'
import type { RouterAddresses } from './router-addresses.js'
import type { RouterComponents } from './router-components.js'
import type { RouterProcessOptions } from './router-process-options.js'
import { RouterStreams } from './router-streams.js'
import type { Readiness } from '../status/readiness.js'
import { readPeerAccess } from './read-peer-access.js'
import { wireLedger } from './wire-ledger.js'
import { wireConfiguration } from './wire-configuration.js'
import { RouterMetrics } from '../status/router-metrics.js'
import { TrackedDispatch } from '../admission/tracked-dispatch.js'
import { WatchedEndpoints } from '../watch/watched-endpoints.js'
import { wireCallers } from './wire-callers.js'
import { wireOrders } from './wire-orders.js'
import { wireLeaving } from './wire-leaving.js'
import { wirePlacement } from './wire-placement.js'

/** Maximum number of concurrent calls that bypass an unreachable owner. */
const MAXIMUM_UNOWNED_CALLS = 8
const MAXIMUM_FORWARD_CONNECTIONS = 1_024
/**
 * Rankings of the live routers by rendezvous hashing, in addition to those that `LedgerWriters` computes for the ledger
 * partitions; negative, because the partitions are numbered from 0. The first selects the routers that tail the
 * configuration, the second those that tail the leases and try to acquire the order lease.
 */
const CONFIGURATION_RANKING = -1
const ORDER_RANKING = -2
/** Number of routers that tail the configuration by long polls; all other routers receive it from their peers. */
const CONFIGURATION_READER_COUNT = 16
/** Number of routers that tail the leases by long polls and try to acquire the order lease. */
const ORDER_CANDIDATE_COUNT = 3
const ID_BYTES = 6
const STOP_POLL_MS = 20
const FLUSH_TIMEOUT_MS = 5_000
/** Additional time for the handover of ownership after the last request in flight has ended, in milliseconds. */
const HANDOVER_TIMEOUT_MS = 2_000

/** Creates the components of one router process, connects them and runs their tasks. */
export class RouterProcess implements Readiness {
  /** Metrics of this router. */
  readonly metrics = new RouterMetrics()
  /** Id in the fleet, unique for each start. */
  readonly id: string
  private readonly _options: RouterProcessOptions
  private readonly _shutdown = new AbortController()
  private readonly _traffic: TrafficCounter
  private _tasks: Promise<unknown> = Promise.resolve()
  /** Stops the lease holder and the order task before all other tasks; the lease is released after both have ended. */
  private readonly _ordersShutdown = new AbortController()
  private _orderTask: Promise<unknown> = Promise.resolve()
  private _components: RouterComponents | undefined
  private _stopping = false

  /**
   * @param options settings and external dependencies
   */
  constructor (options: RouterProcessOptions) {
    this._options = options
    this._traffic = options.traffic ?? new TrafficCounter()
    // Removes the limit of listeners, because every task of the router listens to this signal.
    setMaxListeners(0, this._shutdown.signal)
    this.id = options.routerId ?? randomBytes(ID_BYTES).toString('base64url')
  }

  /** Components of the started router. Throws ROUTER_NOT_READY before `start` has completed. */
  get components (): RouterComponents {
    if (this._components === undefined) throw new MimosarockError(ResultCode.ROUTER_NOT_READY, 'the router has not been started')
    return this._components
  }

  /** Number of bytes written as control traffic, which excludes the requests of callers and the responses to them. */
  get controlBytes (): number {
    return this._traffic.total
  }

  /**
   * Starts the servers and all tasks.
   * @returns the addresses with the actual ports
   * @throws {MimosarockError} ADDRESS_IN_USE
   */
  async start (): Promise<RouterAddresses> {
    const { settings, clock, eventLog, vmList } = this._options
    const streams = new RouterStreams(this._options, this.id)
    const { configuration } = streams

    const clients = new EndpointClients(settings.endpoints.connect_timeout_ms)
    const drainTimeoutMs = settings.callers.body_timeout_ms
    const maximumBufferedBodyBytes = settings.callers.maximum_kept_body_bytes
    const forwardServer = new ForwardServer({ address: settings.forwards.address, maximumBufferedBodyBytes, drainTimeoutMs }, {
      // No peer knows the address of this router before the dispatcher below has been created.
      dispatch: async (call, signal) => await ownedDispatch.dispatch(call, signal),
      cancel: async (call) => await ownedDispatch.cancel(call)
    })
    const forwards = await forwardServer.start()

    const methods = new PeerMethods()
    const access = readPeerAccess(settings)
    const peerServer = new PeerServer({ address: settings.peers.address, methods, access, clock, eventLog, traffic: this._traffic })
    const peers = await peerServer.listen()
    const connections = new PeerConnections({ methods, access, clock, eventLog, traffic: this._traffic })
    const messenger = this._options.decorateMessenger?.(connections) ?? connections
    const membership = new HeartbeatMembership({
      self: { id: this.id, availabilityZone: settings.router.availability_zone, peerAddress: peers, forwardAddress: forwards, leaving: false },
      messenger,
      vmList,
      seeds: settings.peers.seeds.split(',').map((seed) => seed.trim()).filter((seed) => seed !== ''),
      clock,
      eventLog,
      heartbeatMs: settings.membership.heartbeat_ms,
      suspicionMs: settings.membership.suspicion_ms
    })
    const ledger = wireLedger({ processOptions: this._options, streams, membership, messenger })
    const configurationComponents = wireConfiguration({ settings, streams, membership, messenger, operations: ledger.administration, endpoints: () => this._components?.leaving.statuses.list() ?? [], clock, eventLog })
    const { operatorServices, peerCatchUp } = configurationComponents
    const checkpointWriters = [...configurationComponents.checkpointWriters, ...ledger.checkpointWriters]
    const settler = new StatusSettler({
      ...ledger, configuration, statusCall: new HttpStatusCall(), auditTrail: operatorServices.auditTrail, clock, eventLog, routerId: this.id
    })
    const operators = await operatorServices.start()

    const owners = new ConfiguredOwners(configuration, membership)
    const watchedEndpoints = new WatchedEndpoints({
      configuration,
      membership,
      owners,
      vmList,
      clock,
      eventLog,
      traffic: this._traffic,
      connectTimeoutMs: settings.endpoints.connect_timeout_ms,
      pollMs: settings.endpoints.load_poll_ms
    })
    const placementComponents = wirePlacement({ settings: settings.placement, configuration, membership, messenger, owners, endpointStates: watchedEndpoints, clients, clock, eventLog })
    const poolOrder = new PoolOrder((pool, endpoint) => watchedEndpoints.availability(pool, endpoint) === EndpointAvailability.LIVE)
    const dispatchOptions = {
      configuration,
      health: watchedEndpoints,
      clients,
      headTimeoutMs: settings.endpoints.head_timeout_ms,
      firstByteTimeoutMs: settings.endpoints.first_byte_timeout_ms,
      silenceTimeoutMs: settings.endpoints.silence_timeout_ms
    }
    const ownedDispatch: TrackedDispatch = new TrackedDispatch(new OwnedEndpointDispatch({ ...dispatchOptions, admission: placementComponents.admissions }))
    // Keyed calls are sent directly by the router whose attempt won the key. It does not know the load of endpoints that
    // it does not own, and a load bound based on its own counts would reject calls to idle endpoints.
    const directDispatch = new OwnedEndpointDispatch({ ...dispatchOptions, admission: new UnboundedAdmission() })
    const orders = wireOrders({
      processOptions: this._options,
      routerId: this.id,
      streams,
      isCandidate: () => ledger.writers.isAmongFirst(ORDER_RANKING, ORDER_CANDIDATE_COUNT),
      auditTrail: operatorServices.auditTrail,
      health: watchedEndpoints
    })
    streams.setReaderPredicates(
      () => ledger.writers.isAmongFirst(CONFIGURATION_RANKING, CONFIGURATION_READER_COUNT),
      () => ledger.writers.isAmongFirst(ORDER_RANKING, ORDER_CANDIDATE_COUNT)
    )
    const ownerDispatch = new OwnerDispatch({
      self: () => membership.self,
      owners,
      local: ownedDispatch,
      forward: {
        connectTimeoutMs: settings.endpoints.connect_timeout_ms,
        maximumConnections: MAXIMUM_FORWARD_CONNECTIONS,
        acknowledgeTimeoutMs: settings.forwards.acknowledge_timeout_ms,
        headTimeoutMs: settings.endpoints.head_timeout_ms,
        firstByteTimeoutMs: settings.endpoints.first_byte_timeout_ms,
        silenceTimeoutMs: settings.endpoints.silence_timeout_ms
      },
      suspects: new SuspectOwners(clock, settings.membership.suspicion_ms),
      maximumUnownedCalls: MAXIMUM_UNOWNED_CALLS
    })
    const leaving = wireLeaving({ configuration, membership, owners, watchedEndpoints, dispatch: ownedDispatch, placement: placementComponents, poolOrder, messenger, clock, eventLog })
    const callerServer = wireCallers({
      processOptions: this._options,
      configuration,
      poolOrder,
      placement: placementComponents,
      dispatch: ownerDispatch,
      directDispatch,
      keyedCall: ledger.keyedCall,
      readiness: this,
      metrics: this.metrics
    })
    const callers = await callerServer.start()
    this._components = { streams, clients, forwardServer, peerServer, messenger: connections, membership, ownerDispatch, callerServer, placement: placementComponents, configurationComponents, ledger, leaving, orders }
    this._registerMetrics(this._components)
    const signal = this._shutdown.signal
    const ordersSignal = AbortSignal.any([signal, this._ordersShutdown.signal])
    this._orderTask = Promise.allSettled([orders.lease.run(ordersSignal), orders.task.run(ordersSignal)])
    this._tasks = Promise.allSettled([this._orderTask, streams.run(signal), membership.run(signal), watchedEndpoints.run(signal), leaving.retirements.run(signal), placementComponents.loadExchange.run(signal), placementComponents.workspaceLimits.run(signal), operatorServices.run(signal), peerCatchUp.run(signal), ledger.partitions.run(signal), settler.run(signal), ...checkpointWriters.map(async (writer) => await writer.run(signal))])
    eventLog.info('router-started', { router: this.id, callers, forwards, peers, availability_zone: settings.router.availability_zone })
    return { callers, forwards, peers, operators }
  }

  /** Returns the reason why the router is not ready, or undefined if it is ready. */
  reasonNotReady (): string | undefined {
    if (this._stopping) return 'stopping'
    if (this._components?.streams.configuration.current() === undefined) return 'no configuration that is proved current'
    return undefined
  }

  /**
   * Stops gracefully: the router reports that it is not ready, hands over its ownerships, and lets requests in flight
   * finish within the grace period.
   * @returns number of requests aborted at the end of the grace period
   */
  async stop (): Promise<number> {
    const { ledger, membership, callerServer, forwardServer, leaving, orders } = this.components
    const { clock, eventLog, settings } = this._options
    this._stopping = true
    const handover = new AbortController()
    const handoverDone = leaving.handover.handOver(handover.signal)
    callerServer.announceClose()
    eventLog.info('router-stopping', { router: this.id, in_flight: callerServer.inFlight })
    const deadlineAt = clock.now() + settings.stopping.grace_ms
    await clock.sleep(Math.min(settings.stopping.notice_ms, settings.stopping.grace_ms))
    const callerServerStopped = callerServer.stop()
    while ((callerServer.inFlight > 0 || forwardServer.inFlight > 0) && clock.now() < deadlineAt) await clock.sleep(STOP_POLL_MS)
    const abortedRequests = callerServer.inFlight + forwardServer.inFlight
    await Promise.race([handoverDone, clock.sleep(HANDOVER_TIMEOUT_MS, handover.signal)])
    handover.abort()
    await handoverDone
    this._ordersShutdown.abort()
    await this._orderTask
    await orders.lease.release()
    await ledger.partitions.flush(FLUSH_TIMEOUT_MS)
    await membership.depart()
    await this.kill()
    await callerServerStopped
    eventLog.info('router-stopped', { router: this.id, cut_off: abortedRequests })
    return abortedRequests
  }

  /** Stops immediately without any handover, like a lost VM, except that all sockets are closed. */
  async kill (): Promise<void> {
    this._stopping = true
    this._shutdown.abort()
    const { ledger, clients, forwardServer, peerServer, messenger, ownerDispatch, callerServer, configurationComponents } = this.components
    ledger.partitions.stop()
    callerServer.destroy()
    forwardServer.destroy()
    messenger.close()
    await Promise.all([
      callerServer.stop(), configurationComponents.operatorServices.stop(), forwardServer.stop(), peerServer.close(), ownerDispatch.destroy(), clients.destroy(), this._tasks
    ])
  }

  private _registerMetrics (components: RouterComponents): void {
    const { configuration } = components.streams
    this.metrics.registerGauge('mimosarock_control_bytes_total', 'Bytes written for anything but bodies and answers of callers.', () => this.controlBytes)
    this.metrics.registerGauge('mimosarock_configuration_revision', 'Revision of the configuration in force.', () => configuration.current()?.revision ?? 0)
    this.metrics.registerGauge('mimosarock_configuration_staleness_seconds', 'Time since the configuration was last proved current.', () => configuration.stalenessMs / 1_000)
    this.metrics.registerGauge('mimosarock_live_routers', 'Routers that this router sees live.', () => components.membership.live().length)
  }
}
