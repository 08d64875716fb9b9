import type { IncomingMessage } from 'node:http'
import type { RequestContent } from '../model/request-content.js'
import type { ResponseRelay } from '../responses/response-relay.js'
import type { AdmissionPath } from './admission-path.js'
import type { AuthorizedRequest } from './authorized-request.js'

/** One request to be sent to endpoints. */
export interface EndpointAttemptsOptions {
  /** The request, with its route and service. */
  readonly authorized: AuthorizedRequest
  /** What it asks for. */
  readonly content: RequestContent
  /** The caller's request, for its method, target and headers. */
  readonly request: IncomingMessage
  /** Its whole body. */
  readonly body: Buffer
  /** Receives the response. */
  readonly relay: ResponseRelay
  /** The way on which the request was admitted, which chooses its endpoints. */
  readonly admission: AdmissionPath
  /** Returns the milliseconds left for the request. */
  readonly timeLeftMs: () => number
}
