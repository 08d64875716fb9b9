import type { ServiceRequest } from '../admission/service-request.js'
import { WaitFractions } from '../admission/wait-fractions.js'

/**
 * Returns the time for which a request may wait for a slot, in milliseconds.
 * @param request objective of the request, and the time left for it
 */
export function maximumWaitMs ({ objectiveMs, timeLeftMs }: Pick<ServiceRequest, 'objectiveMs' | 'timeLeftMs'>): number {
  return Math.max(0, Math.min(objectiveMs * WaitFractions.OF_OBJECTIVE, timeLeftMs * WaitFractions.OF_TIME_LEFT))
}
