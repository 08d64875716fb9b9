import { FleetConcurrencyLimit } from '../admission/fleet-concurrency-limit.js'
import { ServiceAdmissions } from '../admission/service-admissions.js'
import { allowedEndpoints } from '../choice/allowed-endpoints.js'
import type { QueueFairness } from '../fairness/queue-fairness.js'
import type { WorkspaceFairness } from '../fairness/workspace-fairness.js'
import type { Homes } from '../homes/homes.js'
import { pause } from '../membership/pause.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { AdmissionsOptions } from './admissions-options.js'

const MS_PER_SECOND = 1_000

/**
 * Creates the admission control of all services and connects it with what tells it that limits may have grown.
 * @param options state and components of the router
 */
export function createAdmissions ({ state, health, pauses, homeRegions, pressure, clock, onPermits }: AdmissionsOptions): ServiceAdmissions {
  const { configuration, endpoints, fairness, loads, permits, routers, warmUps } = state
  const readyEndpoints = (service: string, homes?: Homes): readonly EndpointEntry[] => allowedEndpoints(endpoints.ready(service), homes?.mayRunAt)
  const availableEndpoints = (service: string, homes?: Homes): readonly EndpointEntry[] => {
    return health.preferHealthy(pauses.withoutPaused(readyEndpoints(service, homes)))
  }
  const concurrencyLimit = new FleetConcurrencyLimit({
    loads,
    random: Math.random,
    routerCount: () => routers.size,
    availableEndpoints,
    hasHomes: () => configuration.inForce?.hasHomeRegions === true,
    regionOf: ({ availabilityZone }) => homeRegions.regionOf(availabilityZone) ?? `zone ${availabilityZone}`,
    permits,
    now: () => clock.now(),
    serviceMs: (service, homes) => admissions.get(service, homes).serviceMs
  })
  const admissions: ServiceAdmissions = new ServiceAdmissions({
    clock: { now: () => clock.now(), sleep: pause },
    limitOf: (service, homes) => concurrencyLimit.limit(service, homes),
    loadAt: (service, homes) => readyEndpoints(service, homes).reduce((sum, { id }) => sum + loads.localLoad(id), 0),
    processLimit: () => pressure.limit,
    rateLimitOf: (service, homes) => ({
      intervalMs: () => permits.intervalMs(service, availableEndpoints(service, homes)),
      requestQueued: () => permits.getForWaiting()
    }),
    // Requests with the same home regions share capacity, and are refused without it, apart from the others of their service.
    fairnessOf: (service, homes) => queueFairness(fairness, homes === undefined ? service : `${service}@${homes.regions.join('+')}`),
    random: Math.random
  })
  warmUps.setCapacityOf(({ service, slots }) => slots * MS_PER_SECOND / Math.max(1, admissions.get(service).serviceMs ?? 0))
  admitWhenLimitsGrow(admissions, state, onPermits)
  return admissions
}

function admitWhenLimitsGrow (admissions: ServiceAdmissions, { endpoints, evacuations, loads, permits }: AdmissionsOptions['state'], onPermits: (count: number) => void): void {
  loads.onReport(() => admissions.admitQueued())
  // Requests to a service without endpoints in other zones are refused at once instead of after their time in the queue.
  evacuations.listen({ zoneEvacuated: () => admissions.admitQueued(), zoneRestored: () => undefined })
  endpoints.listen({
    endpointRestarted: () => undefined,
    endpointRemoved: () => admissions.admitQueuedWithHomes(),
    endpointExpired: () => undefined
  })
  permits.setQueues({
    queued: (service) => admissions.queued(service),
    permitsArrived: (count) => {
      onPermits(count)
      admissions.admitQueued()
    }
  })
}

function queueFairness (fairness: WorkspaceFairness, name: string): QueueFairness {
  return {
    countArrival: (workspace) => fairness.countArrival(name, workspace),
    countAdmission: (workspace) => fairness.countAdmission(name, workspace),
    recordRefusal: () => fairness.recordRefusal(name),
    mayQueue: (workspace) => fairness.mayQueue(name, workspace)
  }
}
