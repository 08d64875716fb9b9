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
  /** Timeout for the head of a streamed answer, which engines send before they compute the answer, in milliseconds. */
  readonly headTimeoutMs: number
  /** Timeout for the head of an answer that is not streamed, in milliseconds. */
  readonly firstByteTimeoutMs: number
  /** Timeout for silence within an answer, in milliseconds; used if the pool sets none. */
  readonly silenceTimeoutMs: number
}
