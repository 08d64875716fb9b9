import type { Server } from 'node:http'
import { EndpointHealth } from '../choice/endpoint-health.js'
import { LocalSlotLink } from '../grants/local-slot-link.js'
import { SlotClient } from '../grants/slot-client.js'
import { SlotConnections } from '../grants/slot-connections.js'
import { SlotOwners } from '../grants/slot-owners.js'
import { SlotOwnership } from '../grants/slot-ownership.js'
import { SlotServer } from '../grants/slot-server.js'
import { ReportedLoads } from '../loads/reported-loads.js'
import { pause } from '../membership/pause.js'
import type { SlotGrantingOptions } from './slot-granting-options.js'

const MS_PER_SECOND = 1_000

/** The components of slot grants: this router as an owner, and as one that asks owners. */
export class SlotGranting {
  /** Requests slots on behalf of this router. */
  readonly client: SlotClient
  /** Loads that endpoints state. */
  readonly reportedLoads: ReportedLoads
  private readonly _ownership: SlotOwnership
  private readonly _owners: SlotOwners
  private readonly _server: SlotServer
  private readonly _connections: SlotConnections

  /**
   * @param options state of this router and settings
   */
  constructor ({ state, availableEndpoints, isEnabled, loadBoundFactor, clock, log, metrics }: SlotGrantingOptions) {
    const { routers, endpoints, loads } = state
    const { name } = routers.self
    this.reportedLoads = new ReportedLoads(clock, log)
    this._connections = new SlotConnections(name, log)
    this._ownership = new SlotOwnership({ clock, routers, endpoints, isEnabled, isDown: (router) => this._connections.isDown(router) })
    this._owners = new SlotOwners({
      clock,
      random: Math.random,
      availableEndpoints,
      // Releases report failures that other routers have seen; these do not count for the requests that this router sends by itself.
      health: new EndpointHealth(clock),
      reportedLoads: this.reportedLoads,
      fleetLoad: (endpointId) => loads.total(endpointId),
      loadBoundFactor
    }, (service) => this._ownership.owns(service))
    this._server = new SlotServer(this._owners)
    this.client = new SlotClient({
      router: name,
      ownership: this._ownership,
      links: this._connections,
      localLink: new LocalSlotLink(this._owners, name),
      clock: { now: () => clock.now(), sleep: pause },
      log,
      onResult: (service, result, waitedMs) => {
        metrics.slotGrants.inc({ service, result })
        metrics.slotWaitSeconds.observe({ service }, waitedMs / MS_PER_SECOND)
      }
    })
    endpoints.listen({
      endpointRestarted: () => undefined,
      endpointRemoved: ({ id }) => {
        this.reportedLoads.remove(id)
        this._owners.removeEndpoint(id)
      },
      endpointExpired: () => undefined
    })
  }

  /** Names of the services whose slots this router owns. */
  get ownedServices (): readonly string[] {
    return this._owners.services
  }

  /**
   * Accepts connections of other routers.
   * @param server server at the address for calls between routers
   */
  attach (server: Server): void {
    this._server.attach(server)
  }

  /**
   * Keeps connections to slot owners open until aborted, then closes all connections.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    await this._connections.run(() => {
      // Also notices that another router owns a service whose slots nobody uses at this one.
      this._owners.sweep()
      return this._ownership.wantedRouters()
    }, signal)
    this._server.close()
  }
}
