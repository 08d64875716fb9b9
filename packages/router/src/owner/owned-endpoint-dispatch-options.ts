import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { CallAdmission } from '../admission/call-admission.js'
import type { EndpointClients } from '../watch/endpoint-clients.js'
import type { EndpointHealth } from '../watch/endpoint-health.js'

/** Options of `OwnedEndpointDispatch`. */
export interface OwnedEndpointDispatchOptions {
  readonly configuration: ConfigurationSource
  readonly admission: CallAdmission
  readonly health: EndpointHealth
  readonly clients: EndpointClients
  /** Timeout for the head of a streamed response, which engines send before they compute its body, in milliseconds. */
  readonly headTimeoutMs: number
  /** Timeout for the head of a response that is not streamed, in milliseconds. */
  readonly firstByteTimeoutMs: number
  /** Maximum time between two chunks of a response body, in milliseconds; used if the pool sets none. */
  readonly silenceTimeoutMs: number
}
