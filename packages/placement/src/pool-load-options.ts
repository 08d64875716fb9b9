import type { PlacementClock } from './placement-clock.js'

/** What the load of a pool works with. */
export interface PoolLoadOptions {
  /** This router. */
  readonly routerId: string
  readonly pool: string
  readonly clock: PlacementClock
  /** Age at which another router's digest stops counting, in milliseconds. */
  readonly staleMs: number
}
