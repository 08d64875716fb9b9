import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import { FleetConcurrencyLimit } from '@mimosarock/gateway/admission/fleet-concurrency-limit.js'
import { ServiceAdmissions } from '@mimosarock/gateway/admission/service-admissions.js'
import { AdmissionPaths } from '@mimosarock/gateway/caller/admission-paths.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { LocalSlotLink } from '@mimosarock/gateway/grants/local-slot-link.js'
import { SlotClient } from '@mimosarock/gateway/grants/slot-client.js'
import { SlotOwners } from '@mimosarock/gateway/grants/slot-owners.js'
import { SlotOwnership } from '@mimosarock/gateway/grants/slot-ownership.js'
import { ReportedLoads } from '@mimosarock/gateway/loads/reported-loads.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'
import { createPermits } from './create-permits.js'
import type { SlotFleetSimulation } from './slot-fleet-simulation.js'
import { SimulatedSlotLinks } from './simulated-slot-links.js'
import type { SlotLoad } from './slot-load.js'

const REPORT_INTERVAL_MS = 250

/** Router of the simulation: the components of a router that decide, without its network. */
export class SimulatedSlotRouter {
  isKilled = false
  isFrozen = false
  /** Time that this router takes to handle a message, in milliseconds. */
  processingMs = 0
  readonly entry: RouterEntry
  readonly zone: number
  readonly loads: LoadView
  readonly links: SimulatedSlotLinks
  readonly owners: SlotOwners
  readonly ownership: SlotOwnership
  readonly paths: AdmissionPaths
  readonly reportsAt: number
  /** Names of routers that this one wrongly takes to be gone. */
  readonly presumedGone = new Set<string>()

  constructor (fleet: SlotFleetSimulation, index: number, load: SlotLoad) {
    const { clock, endpointTable: endpoints, random } = fleet
    this.entry = { name: `r${index}`, availabilityZone: `z${index % 3}`, address: `r${index}` }
    this.zone = index % 3
    this.reportsAt = Math.floor(random() * REPORT_INTERVAL_MS)
    this.loads = new LoadView(() => clock.now())
    const { loads } = this
    const permits = createPermits(endpoints, clock)
    const health = new EndpointHealth(clock)
    const pauses = new EndpointPauses(clock)
    const endpointSelector = new EndpointSelector({
      endpoints, loads, holders: new HolderTable(), health, pauses, permits, availabilityZone: this.entry.availabilityZone, isFleetLarge: () => true, loadBoundFactor: () => 2, routerCount: () => load.routers, random
    })
    const availableEndpoints = (service: string) => health.preferHealthy(endpoints.ready(service))
    const limit = new FleetConcurrencyLimit({
      loads, random, routerCount: () => load.routers, availableEndpoints, permits, now: () => clock.now(), serviceMs: (service) => admissions.get(service).serviceMs
    })
    const admissions: ServiceAdmissions = new ServiceAdmissions({
      clock,
      random,
      limitOf: (service) => limit.limit(service),
      processLimit: () => Infinity,
      rateLimitOf: () => ({ intervalMs: () => undefined, requestQueued: () => undefined }),
      loadAt: () => 0,
      fairnessOf: () => ({ countArrival: () => undefined, countAdmission: () => undefined, recordRefusal: () => undefined, mayQueue: () => true })
    })
    loads.onReport(() => admissions.admitQueued())
    this.links = new SimulatedSlotLinks(fleet, () => this)
    const members = (): RouterEntry[] => fleet.routers.filter(({ isKilled, entry }) => !(isKilled && fleet.forgetsKilled) && !this.presumedGone.has(entry.name)).map(({ entry }) => entry)
    let order: RendezvousOrder<{ name: string, capacity: number, entry: RouterEntry }> | undefined
    let count = 0
    const { entry } = this
    const routers = {
      self: entry,
      get order () {
        const current = members()
        if (order === undefined || count !== current.length) order = new RendezvousOrder(current.map((router) => ({ name: router.name, capacity: 1, entry: router })))
        count = current.length
        return order
      }
    }
    this.ownership = new SlotOwnership({ clock, routers, endpoints, isEnabled: () => load.usesGrants, isDown: (router) => this.links.isDown(router) })
    this.owners = new SlotOwners({
      clock, random, availableEndpoints: (service) => endpoints.ready(service), health: new EndpointHealth(clock), reportedLoads: new ReportedLoads(clock, new SilentEventLog()), fleetLoad: (id) => loads.total(id), loadBoundFactor: () => 2
    }, (service) => this.ownership.owns(service))
    const request = this.owners.request.bind(this.owners)
    this.owners.request = (holder, slot, listener) => request(holder, slot, {
      ...listener,
      refused: (refusal) => {
        if (refusal.code === ResultCode.OVERLOADED && this.owners.inUse + fleet.withoutGrant < fleet.slots) fleet.refusedWhileFree += 1
        listener.refused(refusal)
      }
    })
    const slotClient = new SlotClient({
      router: entry.name, ownership: this.ownership, links: this.links, localLink: new LocalSlotLink(this.owners, entry.name), clock, log: new SilentEventLog(), onResult: () => undefined
    })
    this.paths = new AdmissionPaths({ admissions, endpointSelector, slotClient, endpoints, health, permits, clock })
  }
}
