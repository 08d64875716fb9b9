import type { RequestRank } from './request-rank.js'

/** Properties of a request that admission control needs. */
export interface ServiceRequest extends RequestRank {
  /** Workspace of the caller; undefined on public routes. */
  readonly workspace: string | undefined
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number
  /** Time until the deadline, in milliseconds. */
  readonly timeLeftMs: number
}
