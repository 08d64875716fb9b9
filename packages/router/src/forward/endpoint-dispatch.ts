import type { DispatchResponse } from './dispatch-response.js'
import type { DispatchCall } from './dispatch-call.js'

/** Executes calls at their endpoints or refuses them. */
export interface EndpointDispatch {
  /**
   * Sends the call to its endpoint and resolves when the response head has been received.
   * @param call names the endpoint; a streamed body is consumed
   * @param signal aborts the call and closes its connection; an engine continues a stream for its resume window
   * unless `cancel` ends it
   * @throws {MimosarockError} its run state says whether a byte of the call may have reached the endpoint;
   * ENDPOINT_OVER_BOUND, CONTEXT_ELSEWHERE (its field names the endpoint that holds the context), NOT_OWNER,
   * CIRCUIT_OPEN and QUEUE_FULL are always `not-run`; ENDPOINT_LEAVING is, unless a retirement aborted the call
   */
  dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchResponse>
  /**
   * Ends a stream at its engine after the caller has disconnected. Never throws: a stream that can't be cancelled
   * ends with the engine's resume window.
   * @param call the call that opened the stream
   */
  cancel (call: DispatchCall): Promise<void>
}
