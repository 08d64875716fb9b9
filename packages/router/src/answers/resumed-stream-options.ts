import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { PlacedCall } from '../entry/placed-call.js'

/** What carrying a streamed answer over broken connections needs. */
export interface ResumedStreamOptions {
  /** The call and the head of its answer. */
  readonly placed: PlacedCall
  readonly dispatch: EndpointDispatch
  /** Ends the stream. */
  readonly signal: AbortSignal
  /** Time left for the whole call, in milliseconds. */
  readonly remainingMs: () => number
  /** Places the call anew, after its engine was lost. */
  readonly restart: () => Promise<PlacedCall>
  /** Hears of each resumption. */
  readonly onResume: (nextId: number) => void
}
