import type { DispatchAnswer } from '../forward/dispatch-answer.js'
import type { DispatchCall } from '../forward/dispatch-call.js'

/** A call that an endpoint has answered. */
export interface PlacedCall {
  /** The call as it was dispatched to the endpoint. */
  readonly call: DispatchCall
  readonly answer: DispatchAnswer
}
