import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { PlacedCall } from '../entry/placed-call.js'

/** Initial response, dependencies and callbacks of a stream that resumes after connection failures. */
export interface ResumableStreamOptions {
  /** The call and its initial response. */
  readonly placed: PlacedCall
  readonly dispatch: EndpointDispatch
  /** Aborts the stream. */
  readonly signal: AbortSignal
  /** Returns the time left until the deadline of the call, in milliseconds. */
  readonly remainingMs: () => number
  /** Places the call again after its engine was lost. */
  readonly restart: () => Promise<PlacedCall>
  /** Called before each attempt to resume or regenerate the response, with the id of the next expected event. */
  readonly onResume: (nextId: number) => void
}
