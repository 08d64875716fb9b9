import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { DispatchCall } from '../forward/dispatch-call.js'

/** A call before it is known which endpoint runs it. */
export interface CallPlan {
  /** The call without its endpoint and what changes from try to try. */
  readonly call: Omit<DispatchCall, 'endpoint' | 'attempt' | 'remainingMs' | 'waitMs'>
  readonly pool: Pool
  /** Endpoints in the order of the call's key. */
  readonly order: readonly Endpoint[]
  /** Monotonic time at which the call must have ended, in milliseconds. */
  readonly deadlineAt: number
  /** Whether the call may be sent again when it is not known whether it ran. */
  readonly repeatable: boolean
}
