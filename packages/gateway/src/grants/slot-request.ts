import type { ServiceRequest } from '../admission/service-request.js'

/** Request of a router for a slot of a service. */
export interface SlotRequest extends ServiceRequest {
  /** Name of the service. */
  readonly service: string
  /** Ids of endpoints that must not be granted. */
  readonly excluded: readonly string[]
  /** Availability zones whose endpoints may be granted; undefined if all may. */
  readonly zones?: readonly string[] | undefined
  /** Ids of endpoints that hold the context of the request, or are to hold it; granted first while they have a free slot. Undefined without a prompt. */
  readonly preferred?: readonly string[] | undefined
}
