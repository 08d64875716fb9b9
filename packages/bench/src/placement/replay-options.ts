import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import type { ChatArrival } from './chat-arrival.js'
import type { EngineOutage } from './engine-outage.js'
import type { EngineParameters } from './engine-parameters.js'

/** Options of a replay of arrivals. */
export interface ReplayOptions {
  readonly arrivals: readonly ChatArrival[]
  readonly engineCount: number
  readonly engineParameters: EngineParameters
  readonly outages: readonly EngineOutage[]
  readonly bound: AdmissionBound
  /** Interval between two samples of the loads, in milliseconds. */
  readonly sampleMs: number
  /** Time before which no results are recorded, in milliseconds since the start. */
  readonly warmUpMs: number
}
