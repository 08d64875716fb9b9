import type { EngineState } from './engine-state.js'

/** A live engine of a pool, as orders are planned for it. */
export interface PlannedEngine {
  readonly endpoint: string
  /** IP number and port. */
  readonly address: string
  /** Configured role; empty leaves the role as it is. */
  readonly role: string
  readonly state: EngineState
  /** Whether its state was read just now; others count with their last state and get no orders. */
  readonly reachable: boolean
}
