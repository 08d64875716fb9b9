import type { SlotFleetSimulation } from './slot-fleet-simulation.js'

/** Load of a simulated fleet that uses slot grants. */
export interface SlotLoad {
  readonly routers: number
  readonly usesGrants: boolean
  readonly perSecond: readonly [number, number]
  readonly seconds: number
  readonly objectiveMs: number
  /** Slowdown of an endpoint at a time, 1 by default. */
  readonly slowdown?: (endpoint: number, now: number) => number
  /** Share of the requests that come from the first of four workspaces; equal shares by default. */
  readonly firstShare?: number
  /** Fraction of the messages that arrive 200 ms late. */
  readonly loss?: number
  /** Called before each millisecond. */
  readonly onStep?: (fleet: SlotFleetSimulation, now: number) => void
}
