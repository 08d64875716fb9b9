import type { LoadBoundEventKind } from './load-bound-event-kind.js'

/** Something that happens to routers, endpoints or the load of a simulation, for a time. */
export interface LoadBoundEvent {
  readonly kind: LoadBoundEventKind
  readonly fromS: number
  /** Time at which it ends. Endpoints that have left, and routers that have started, do not change back. */
  readonly untilS: number
  /** Part of the routers or endpoints that it happens to; for a burst, the multiple of the usual load. */
  readonly share: number
}
