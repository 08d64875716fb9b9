import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import type { ChatArrival } from './chat-arrival.js'
import type { EngineLoss } from './engine-loss.js'
import type { EngineRules } from './engine-rules.js'

/** What a replay of arrivals works with. */
export interface ReplayOptions {
  readonly arrivals: readonly ChatArrival[]
  readonly engines: number
  readonly rules: EngineRules
  readonly losses: readonly EngineLoss[]
  readonly bound: AdmissionBound
  /** Pause between two samples of the loads, in milliseconds. */
  readonly sampleMs: number
  /** Time before which nothing counts, in milliseconds. */
  readonly warmUpMs: number
}
