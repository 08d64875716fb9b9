import type { DispatchResponse } from '../forward/dispatch-response.js'
import type { DispatchCall } from '../forward/dispatch-call.js'

/** A call that an endpoint has answered. */
export interface PlacedCall {
  /** The call as it was dispatched to the endpoint. */
  readonly call: DispatchCall
  readonly response: DispatchResponse
}
