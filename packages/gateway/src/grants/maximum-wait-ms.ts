import type { ServiceRequest } from '../admission/service-request.js'

/** Fraction of the latency objective for which a request may wait; the rest is for the endpoint and the network. */
const FRACTION_OF_OBJECTIVE = 0.5
/** Fraction of the time until the deadline for which a request may wait. */
const FRACTION_OF_TIME_LEFT = 0.25

/**
 * Returns the time for which a request may wait for a slot, in milliseconds.
 * @param request objective of the request, and the time left for it
 */
export function maximumWaitMs ({ objectiveMs, timeLeftMs }: Pick<ServiceRequest, 'objectiveMs' | 'timeLeftMs'>): number {
  return Math.max(0, Math.min(objectiveMs * FRACTION_OF_OBJECTIVE, timeLeftMs * FRACTION_OF_TIME_LEFT))
}
