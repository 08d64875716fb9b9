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
import type { RouterParts } from './router-parts.js'
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

const MAXIMUM_UNOWNED_CALLS = 8
const MAXIMUM_FORWARD_CONNECTIONS = 1_024
/** Rankings of the live routers beside those of the ledger's partitions, which count from 0. */
const CONFIGURATION_RANKING = -1
const ORDER_RANKING = -2
/** Routers that tail the configuration by long polls; the others learn from peers. */
const CONFIGURATION_READERS = 16
const ORDER_CANDIDATES = 3
const ID_BYTES = 6
const STOP_CHECK_MS = 20
const FLUSH_MS = 5_000
/** Time for what the next owners have not taken yet when nothing runs here any more. */
const HANDOVER_MS = 2_000

/** Wires the parts of one router process and runs their tasks. */
export class RouterProcess implements Readiness {
  /** Metrics of this router. */
  readonly metrics = new RouterMetrics()
  /** Name in the fleet, unique for each start. */
  readonly id: string
  private readonly _options: RouterProcessOptions
  private readonly _ending = new AbortController()
  private readonly _traffic: TrafficCounter
  private _tasks: Promise<unknown> = Promise.resolve()
  /** Ends the giving of orders, so that the lease can be released between two of them. */
  private readonly _ordersEnding = new AbortController()
  private _orderTask: Promise<unknown> = Promise.resolve()
  private _parts: RouterParts | undefined
  private _stopping = false

  /**
   * @param options settings and the outside systems
   */
  constructor (options: RouterProcessOptions) {
    this._options = options
    this._traffic = options.traffic ?? new TrafficCounter()
    // Every task of the router listens to the one signal that ends them all.
    setMaxListeners(0, this._ending.signal)
    this.id = options.routerId ?? randomBytes(ID_BYTES).toString('base64url')
  }

  /** The started parts. */
  get parts (): RouterParts {
    if (this._parts === undefined) throw new MimosarockError(ResultCode.ROUTER_NOT_READY, 'the router was not started')
    return this._parts
  }

  /** Bytes written for anything but callers' bodies and answers. */
  get controlBytes (): number {
    return this._traffic.total
  }

  /**
   * Opens the servers and starts all tasks.
   * @returns the addresses, with the ports that the system picked
   * @throws {MimosarockError} ADDRESS_IN_USE
   */
  async start (): Promise<RouterAddresses> {
    const { settings, clock, eventLog, vmList } = this._options
    const streams = new RouterStreams(this._options, this.id)
    const { configuration } = streams

    const clients = new EndpointClients(settings.endpoints.connect_timeout_ms)
    const drainTimeoutMs = settings.callers.body_timeout_ms
    const maximumKeptBodyBytes = settings.callers.maximum_kept_body_bytes
    const forwardServer = new ForwardServer({ address: settings.forwards.address, maximumKeptBodyBytes, drainTimeoutMs }, {
      // Nobody knows this router's address before the parts below are there.
      dispatch: async (call, signal) => await owned.dispatch(call, signal),
      cancel: async (call) => await owned.cancel(call)
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
    const ledger = wireLedger({ process: this._options, streams, membership, messenger })
    const configurationParts = wireConfiguration({ settings, streams, membership, messenger, operations: ledger.administration, endpoints: () => this._parts?.leaving.statuses.list() ?? [], clock, eventLog })
    const { operatorSide, spreader } = configurationParts
    const checkpointWriters = [...configurationParts.checkpointWriters, ...ledger.checkpointWriters]
    const settler = new StatusSettler({
      ...ledger, configuration, statusCall: new HttpStatusCall(), auditTrail: operatorSide.auditTrail, clock, eventLog, routerId: this.id
    })
    const operators = await operatorSide.start()

    const owners = new ConfiguredOwners(configuration, membership)
    const health = new WatchedEndpoints({
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
    const placementParts = wirePlacement({ settings: settings.placement, configuration, membership, messenger, owners, watch: health, clients, clock, eventLog })
    const order = new PoolOrder((pool, endpoint) => health.availability(pool, endpoint) === EndpointAvailability.LIVE)
    const dispatchOptions = {
      configuration,
      health,
      clients,
      headTimeoutMs: settings.endpoints.head_timeout_ms,
      firstByteTimeoutMs: settings.endpoints.first_byte_timeout_ms,
      silenceTimeoutMs: settings.endpoints.silence_timeout_ms
    }
    const owned: TrackedDispatch = new TrackedDispatch(new OwnedEndpointDispatch({ ...dispatchOptions, admission: placementParts.admissions }))
    // Keyed calls go straight from the router that won the key, which does not know the load of endpoints that it
    // does not own: a bound counted here would refuse calls at idle endpoints.
    const ownedOnce = new OwnedEndpointDispatch({ ...dispatchOptions, admission: new UnboundedAdmission() })
    const orders = wireOrders({
      process: this._options,
      routerId: this.id,
      streams,
      isCandidate: () => ledger.writers.isAmongFirst(ORDER_RANKING, ORDER_CANDIDATES),
      auditTrail: operatorSide.auditTrail,
      health
    })
    streams.chooseReaders(
      () => ledger.writers.isAmongFirst(CONFIGURATION_RANKING, CONFIGURATION_READERS),
      () => ledger.writers.isAmongFirst(ORDER_RANKING, ORDER_CANDIDATES)
    )
    const ownerDispatch = new OwnerDispatch({
      self: () => membership.self,
      owners,
      local: owned,
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
    const leaving = wireLeaving({ configuration, membership, owners, watch: health, dispatch: owned, placement: placementParts, order, messenger, clock, eventLog })
    const callerServer = wireCallers({
      process: this._options,
      configuration,
      order,
      placement: placementParts,
      dispatch: ownerDispatch,
      dispatchOnce: ownedOnce,
      keyedCall: ledger.keyedCall,
      readiness: this,
      metrics: this.metrics
    })
    const callers = await callerServer.start()
    this._parts = { streams, clients, forwardServer, peerServer, messenger: connections, membership, ownerDispatch, callerServer, placement: placementParts, configurationParts, ledger, leaving, orders }
    this._observe(this._parts)
    const signal = this._ending.signal
    const ordersSignal = AbortSignal.any([signal, this._ordersEnding.signal])
    this._orderTask = Promise.allSettled([orders.lease.run(ordersSignal), orders.task.run(ordersSignal)])
    this._tasks = Promise.allSettled([this._orderTask, streams.run(signal), membership.run(signal), health.run(signal), leaving.retirements.run(signal), placementParts.exchange.run(signal), placementParts.limits.run(signal), operatorSide.run(signal), spreader.run(signal), ledger.partitions.run(signal), settler.run(signal), ...checkpointWriters.map(async (writer) => await writer.run(signal))])
    eventLog.info('router-started', { router: this.id, callers, forwards, peers, availability_zone: settings.router.availability_zone })
    return { callers, forwards, peers, operators }
  }

  /** Why the router is not ready, if it is not. */
  reasonNotReady (): string | undefined {
    if (this._stopping) return 'stopping'
    if (this._parts?.streams.configuration.current() === undefined) return 'no configuration that is proved current'
    return undefined
  }

  /**
   * Stops gracefully: not ready, no new ownership, requests in flight finish within the grace time.
   * @returns requests that were cut off because the grace time ended
   */
  async stop (): Promise<number> {
    const { ledger, membership, callerServer, forwardServer, leaving, orders } = this.parts
    const { clock, eventLog, settings } = this._options
    this._stopping = true
    const handover = new AbortController()
    const handedOver = leaving.handover.handOver(handover.signal)
    callerServer.announceClose()
    eventLog.info('router-stopping', { router: this.id, in_flight: callerServer.inFlight })
    const deadlineAt = clock.now() + settings.stopping.grace_ms
    await clock.sleep(Math.min(settings.stopping.notice_ms, settings.stopping.grace_ms))
    const closed = callerServer.stop()
    while ((callerServer.inFlight > 0 || forwardServer.inFlight > 0) && clock.now() < deadlineAt) await clock.sleep(STOP_CHECK_MS)
    const cutOff = callerServer.inFlight + forwardServer.inFlight
    await Promise.race([handedOver, clock.sleep(HANDOVER_MS, handover.signal)])
    handover.abort()
    await handedOver
    this._ordersEnding.abort()
    await this._orderTask
    await orders.lease.release()
    await ledger.partitions.flush(FLUSH_MS)
    await membership.depart()
    await this.kill()
    await closed
    eventLog.info('router-stopped', { router: this.id, cut_off: cutOff })
    return cutOff
  }

  /** Ends everything at once, as a lost VM would, but for the sockets, which are closed. */
  async kill (): Promise<void> {
    this._stopping = true
    this._ending.abort()
    const { ledger, clients, forwardServer, peerServer, messenger, ownerDispatch, callerServer, configurationParts } = this.parts
    ledger.partitions.stop()
    callerServer.destroy()
    forwardServer.destroy()
    messenger.close()
    await Promise.all([
      callerServer.stop(), configurationParts.operatorSide.stop(), forwardServer.stop(), peerServer.close(), ownerDispatch.destroy(), clients.destroy(), this._tasks
    ])
  }

  private _observe (parts: RouterParts): void {
    const { configuration } = parts.streams
    this.metrics.registerGauge('mimosarock_control_bytes_total', 'Bytes written for anything but bodies and answers of callers.', () => this.controlBytes)
    this.metrics.registerGauge('mimosarock_configuration_revision', 'Revision of the configuration in force.', () => configuration.current()?.revision ?? 0)
    this.metrics.registerGauge('mimosarock_configuration_staleness_seconds', 'Time since the configuration was last proved current.', () => configuration.stalenessMs / 1_000)
    this.metrics.registerGauge('mimosarock_live_routers', 'Routers that this router sees live.', () => parts.membership.live().length)
  }
}
