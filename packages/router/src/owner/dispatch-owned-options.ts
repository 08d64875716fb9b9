import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { CallAdmission } from '../admission/call-admission.js'
import type { EndpointClients } from '../watch/endpoint-clients.js'
import type { EndpointHealth } from '../watch/endpoint-health.js'

/** What running calls at this router's endpoints needs. */
export interface DispatchOwnedOptions {
  readonly configuration: ConfigurationSource
  readonly admission: CallAdmission
  readonly health: EndpointHealth
  readonly clients: EndpointClients
  /** Bound on the wait for the head of a streamed answer, which engines send at once, in milliseconds. */
  readonly headTimeoutMs: number
  /** Bound on the wait for the head of an answer, in milliseconds. */
  readonly firstByteTimeoutMs: number
  /** Bound on silence within an answer, in milliseconds, where the pool sets none. */
  readonly silenceTimeoutMs: number
}
