import type { DispatchAnswer } from './dispatch-answer.js'
import type { DispatchCall } from './dispatch-call.js'

/** Runs a call at one endpoint, or refuses it. */
export interface EndpointDispatch {
  /**
   * Hands the call to the endpoint and resolves when the head of the answer is there.
   * @param call the call
   * @param signal ends the call and drops its connection; a stream at an engine runs on for the engine's
   * resume window, unless `cancel` ends it
   * @throws {MimosarockError} its run state tells whether a byte of the call may have reached the endpoint;
   * ENDPOINT_OVER_BOUND, CONTEXT_ELSEWHERE (its field names the endpoint that holds the context), NOT_OWNER,
   * ENDPOINT_LEAVING, CIRCUIT_OPEN and QUEUE_FULL are always `not-run`
   */
  dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchAnswer>
  /**
   * Ends a stream at its engine, after the caller went away. Never throws: what can't be cancelled ends with
   * the engine's resume window.
   * @param call the call whose stream is to end
   */
  cancel (call: DispatchCall): Promise<void>
}
