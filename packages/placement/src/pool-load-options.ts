import type { PlacementClock } from './placement-clock.js'

/** Options of a `PoolLoad`. */
export interface PoolLoadOptions {
  /** Identifier of this router. */
  readonly routerId: string
  readonly pool: string
  readonly clock: PlacementClock
  /** Age beyond which a digest from another router is stale, in milliseconds. */
  readonly staleMs: number
}
