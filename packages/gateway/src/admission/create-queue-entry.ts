import type { QueueEntry } from './queue-entry.js'
import type { ServiceRequest } from './service-request.js'

/**
 * Creates the queue entry of a request. All requests count as one and have the same priority within their rank.
 * @param request request to queue
 * @param queuedAt time at which it is queued, in milliseconds of a monotonic clock
 */
export function createQueueEntry ({ workspace, rank, routeRank }: ServiceRequest, queuedAt: number): QueueEntry {
  return { workspace: workspace ?? '', rank, routeRank, priority: 0, weight: 1, load: 1, queuedAt }
}
