import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { DispatchCall } from '../forward/dispatch-call.js'

/** A call that has not been placed at an endpoint yet. */
export interface CallPlan {
  /** The call without its endpoint and the fields that differ between attempts. */
  readonly call: Omit<DispatchCall, 'endpoint' | 'attempt' | 'remainingMs' | 'waitMs'>
  readonly pool: Pool
  /** Candidate endpoints in the rendezvous order of the call's key. */
  readonly order: readonly Endpoint[]
  /** Deadline of the call, in monotonic milliseconds. */
  readonly deadlineAt: number
  /** Whether the call may be retried when it is unknown whether it was executed. */
  readonly repeatable: boolean
}
