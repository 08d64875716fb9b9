import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import type { RequestContent } from '../model/request-content.js'
import type { CallResult } from '../sending/call-result.js'

/** A call to an endpoint that did not end with a complete response, for the log and the metrics. */
export interface CallFailure {
  /** Id of the caller's attempt. */
  readonly requestId: string
  /** Name of the route. */
  readonly route: string
  /** Name of the service. */
  readonly service: string
  /** What the request asks for. */
  readonly content: RequestContent
  /** Endpoint that was called and why. */
  readonly chosen: ChosenEndpoint
  /** How the call ended. */
  readonly result: CallResult
  /** Whether the caller had received a part of the response. */
  readonly hasBegun: boolean
}
