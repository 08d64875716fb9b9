import type { RouterIdentity } from '../router-identity.js'
import type { MemberCondition } from './member-condition.js'

/** Entry of the member table for one router. Records of the same router are merged by incarnation, then by condition. */
export interface MemberRecord {
  readonly identity: RouterIdentity
  /** Raised only by the router itself, to refute a suspicion or to announce that it is leaving. */
  readonly incarnation: number
  readonly condition: MemberCondition
  /** Configuration revision that the router last reported. */
  readonly revision: number
}
