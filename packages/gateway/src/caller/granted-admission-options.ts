import type { ServiceAdmission } from '../admission/service-admission.js'
import type { EndpointSelector } from '../choice/endpoint-selector.js'
import type { EndpointHealth } from '../choice/endpoint-health.js'
import type { SlotClient } from '../grants/slot-client.js'
import type { FleetPermits } from '../limits/fleet-permits.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { PromptPart } from '../model/prompt-part.js'
import type { AdmissionPath } from './admission-path.js'

/** Dependencies of a `GrantedAdmission`, and its request. */
export interface GrantedAdmissionOptions {
  /** Name of the service. */
  readonly service: string
  /** Parts of the prompt; empty for requests without one. */
  readonly prompt: readonly PromptPart[]
  /** Availability zones whose endpoints may be used; undefined if all may. */
  readonly zones?: readonly string[] | undefined
  /** Requests slots from their owners. */
  readonly client: Pick<SlotClient, 'acquire'>
  /** Path of the request if no owner decides about it in time. */
  readonly fallback: AdmissionPath
  /** Admission control of the service, which counts the requests of this router. */
  readonly admission: ServiceAdmission
  /** Returns whether one more request would exceed the concurrency limit of the process. */
  readonly isProcessFull: () => boolean
  /** Registered endpoints. */
  readonly endpoints: Pick<EndpointTable, 'find' | 'ready'>
  /** Tells which endpoints may be used, and what is known of contexts. */
  readonly selector: Pick<EndpointSelector, 'isUsable' | 'chooseGranted' | 'preferredFor'>
  /** Recent failures of endpoints, as seen by this router. */
  readonly health: Pick<EndpointHealth, 'preferHealthy'>
  /** Permits for requests to endpoints with a rate limit. */
  readonly permits: Pick<FleetPermits, 'allows'>
  /** Monotonic clock. */
  readonly clock: ElapsedClock
  /** Returns the milliseconds left for the request. */
  readonly timeLeftMs: () => number
}
