import type { EngineState } from './engine-state.js'

/** Engine of a pool that does not count as lost, as input to the planning of orders. */
export interface PlannedEngine {
  readonly endpoint: string
  /** IP address and port of the engine. */
  readonly address: string
  /** Configured role; if empty, the engine's current role is not changed. */
  readonly role: string
  readonly state: EngineState
  /** Whether the state was read just now. An unreachable engine is planned with its last known state and gets no orders. */
  readonly reachable: boolean
}
