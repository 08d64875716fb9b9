import { create, toBinary } from '@bufbuild/protobuf'
import { HttpLogService } from '@mimosarock/coordination/http-log-service.js'
import { HttpVmList } from '@mimosarock/coordination/http-vm-list.js'
import { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import type { RouterProcessOptions } from '@mimosarock/router/wiring/router-process-options.js'
import { RouterProcess } from '@mimosarock/router/wiring/router-process.js'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogRecordSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'
import { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'
import { PlainServiceStandIn } from '@mimosarock/stand-ins/plain-service-stand-in.js'
import { VmListStandIn } from '@mimosarock/stand-ins/vm-list-stand-in.js'
import { fleetConfiguration } from './fleet-configuration.js'
import type { FleetOptions } from './fleet-options.js'
import { fleetRouterSettings } from './fleet-router-settings.js'
import type { FleetRouter } from './fleet-router.js'
import { waitUntil } from './wait-until.js'

const DEFAULT_ROUTERS = 3
const DEFAULT_ENGINES = 3
const DEFAULT_ZONES = ['a', 'b', 'c']
const IN_FORCE_TIMEOUT_MS = 30_000
const CONFIGURATION_STREAM = 'configuration'

/**
 * Routers and stand-ins in one process, on ports that the operating system assigns.
 *
 * @example
 * const fleet = await Fleet.start({ routers: 8, engines: Array(13).fill({ capacity: 16 }) })
 * await fetch(`http://${fleet.callerAddress(0)}/v1/models`, { headers: { 'mimosarock-workspace': 'alpha' } })
 * await fleet.stop()
 */
export class Fleet {
  /** Log service of all routers. */
  readonly log = new LogServiceStandIn()
  /** VM list of all routers. */
  readonly vms = new VmListStandIn()
  readonly engines: readonly ModelEngineStandIn[]
  readonly services: readonly PlainServiceStandIn[]
  private readonly _options: FleetOptions
  private readonly _zones: readonly string[]
  private readonly _routers: FleetRouter[] = []
  private _routersStarted = 0
  private _changesSubmitted = 0

  private constructor (options: FleetOptions) {
    this._options = options
    this._zones = options.availabilityZones ?? DEFAULT_ZONES
    const engines = options.engines ?? Array.from({ length: DEFAULT_ENGINES }, () => ({}))
    this.engines = engines.map((engine, index) => new ModelEngineStandIn({ seed: index + 1, ...engine }))
    this.services = Array.from({ length: options.services ?? 1 }, (_, index) => new PlainServiceStandIn({ name: `service-${index}` }))
  }

  /**
   * Starts stand-ins and routers and submits the default configuration, unless `configure` is false.
   * @param options routers, endpoints and settings of the fleet
   * @returns the fleet; if the configuration was submitted, once it is in force on every router and every router lists
   *   all routers as live
   */
  static async start (options: FleetOptions = {}): Promise<Fleet> {
    const fleet = new Fleet(options)
    await Promise.all([fleet.log.start(), fleet.vms.start()])
    await Promise.all([...fleet.engines, ...fleet.services].map(async (endpoint) => await endpoint.start()))
    for (let index = 0; index < (options.routers ?? DEFAULT_ROUTERS); index += 1) await fleet.startRouter()
    if (options.configure !== false) await fleet.submit(fleet.defaultConfiguration())
    return fleet
  }

  /** Running routers, in the order in which they were started. */
  get routers (): readonly FleetRouter[] {
    return this._routers
  }

  /** Creates the configuration that `start` submits. */
  defaultConfiguration (): Configuration {
    return fleetConfiguration(this._options, this.engines, this.services, (index) => this._zone(index))
  }

  /**
   * Returns the IP address and port on which a router accepts callers.
   * @param index index in `routers`
   */
  callerAddress (index: number): string {
    return this._router(index).addresses.callers
  }

  /** Starts one more router and adds its VM to the VM list. */
  async startRouter (): Promise<FleetRouter> {
    const number = this._routersStarted
    this._routersStarted += 1
    const name = `router-${number}`
    const settings = fleetRouterSettings(this._zone(number), this.log.url, this.vms.url, this._options.settings)
    const overHttp = this._options.platformOverHttp === true
    const traffic = new TrafficCounter()
    const defaults: RouterProcessOptions = {
      settings,
      traffic,
      logService: overHttp ? new HttpLogService(this.log.url, traffic) : this.log,
      vmList: overHttp ? new HttpVmList(this.vms.url, name, traffic) : this.vms.viewOf(name),
      clock: new SystemClock(),
      eventLog: this._options.eventLog ?? new SilentEventLog(),
      routerId: name
    }
    const process = new RouterProcess({ ...defaults, ...this._options.processOptions?.(name, defaults) })
    const router: FleetRouter = { process, addresses: await process.start() }
    this._routers.push(router)
    this.vms.set({ name, role: 'router', address: router.addresses.peers, availabilityZone: this._zone(number), leaving: false })
    return router
  }

  /**
   * Stops a router without draining. Its VM stays in the VM list until `vms.remove` is called.
   * @param index index in `routers`
   */
  async killRouter (index: number): Promise<void> {
    const [router] = this._routers.splice(index, 1)
    await router?.process.kill()
  }

  /**
   * Stops a router gracefully. Its VM stays in the VM list until `vms.remove` is called.
   * @param index index in `routers`
   */
  async stopRouter (index: number): Promise<void> {
    const [router] = this._routers.splice(index, 1)
    await router?.process.stop()
  }

  /**
   * Replaces the whole configuration and waits until it is in force on every router and every router lists all routers
   * as live.
   * @param configuration the new configuration
   * @throws {Error} if the configuration is refused or the wait exceeds 30 s
   */
  async submit (configuration: Configuration): Promise<void> {
    this._changesSubmitted += 1
    const changeId = `fleet-${this._changesSubmitted}`
    const record = create(LogRecordSchema, {
      writerId: 'fleet',
      sequence: BigInt(this._changesSubmitted),
      writtenAtMs: BigInt(Date.now()),
      entries: [{
        kind: {
          case: 'configurationChange',
          value: {
            changeId,
            basedOnRevision: BigInt(Math.max(0, ...this._routers.map(revisionOf))),
            actor: { name: 'bench', source: '127.0.0.1' },
            edits: [{ kind: { case: 'replaceAll', value: configuration } }]
          }
        }
      }]
    })
    await this.log.append(CONFIGURATION_STREAM, toBinary(LogRecordSchema, record))
    await waitUntil(() => this._routers.every((router) => this._isInForce(router, changeId)), IN_FORCE_TIMEOUT_MS, 'the configuration to come into force')
  }

  /** Stops every router without draining, then every stand-in. */
  async stop (): Promise<void> {
    await Promise.all(this._routers.splice(0).map(async (router) => await router.process.kill()))
    await Promise.all([...this.engines, ...this.services, this.log, this.vms].map(async (standIn) => await standIn.stop()))
  }

  private _isInForce (router: FleetRouter, changeId: string): boolean {
    const { configuration } = router.process.components.streams
    const result = configuration.fold.resultOf(changeId)
    if (result === undefined) return false
    const accepted = result.code === ResultCode.OK || result.code === ResultCode.NOTHING_CHANGED
    if (!accepted) throw new Error(`the configuration was refused with code ${result.code}: ${result.detail}`)
    const seesEveryRouter = router.process.components.membership.live().length >= this._routers.length
    return seesEveryRouter && revisionOf(router) >= Number(result.revision)
  }

  private _zone (index: number): string {
    return this._zones[index % this._zones.length] ?? 'a'
  }

  private _router (index: number): FleetRouter {
    const router = this._routers[index]
    if (router === undefined) throw new Error(`no running router has index ${index}`)
    return router
  }
}

function revisionOf (router: FleetRouter): number {
  return router.process.components.streams.configuration.current()?.revision ?? 0
}
