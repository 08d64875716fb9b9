import type { RouterIdentity } from '../router-identity.js'
import type { MemberCondition } from './member-condition.js'

/** What one router knows of another; two records of a router are merged by incarnation, then by condition. */
export interface MemberRecord {
  readonly identity: RouterIdentity
  /** Raised by the router itself alone, to refute a suspicion or to tell that it leaves. */
  readonly incarnation: number
  readonly condition: MemberCondition
  /** Configuration revision that it last reported. */
  readonly revision: number
}
