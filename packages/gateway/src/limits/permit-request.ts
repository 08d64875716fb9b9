import type { ServiceDemand } from './service-demand.js'

/** Request for permits, from a router to the one that it follows. */
export interface PermitRequest {
  /** What the router and its followers want. */
  readonly demands: readonly ServiceDemand[]
  /** Number of routers that want it: the router and its followers. */
  readonly routers: number
}
