import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import type { PromptPart } from '../model/prompt-part.js'
import type { CallResult } from '../sending/call-result.js'

/** A call to an endpoint that did not end with a complete response, for the log and the metrics. */
export interface CallFailure {
  /** Id of the caller's attempt. */
  readonly requestId: string
  /** Identifies the content of the request, the same each time that it is repeated. */
  readonly fingerprint: string
  /** Name of the route. */
  readonly route: string
  /** Name of the service. */
  readonly service: string
  /** Parts of the prompt; empty for requests without one. */
  readonly prompt: readonly PromptPart[]
  /** Endpoint that was called and why. */
  readonly chosen: ChosenEndpoint
  /** How the call ended. */
  readonly result: CallResult
  /** Whether the caller had received a part of the response. */
  readonly hasBegun: boolean
}
