import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Part of a service: the endpoints of one region. */
interface Part {
  capacity: number
  load: number
}

/**
 * Returns how many requests in flight are beyond the capacity of the regions that they are in, while other regions have room.
 * Requests that must stay in a full region queue there, and use none of the capacity elsewhere.
 * @param endpoints endpoints of a service
 * @param regionOf returns the region of an endpoint
 * @param capacityOf returns the number of requests that an endpoint takes
 * @param loadOf returns the number of requests in flight at an endpoint
 * @returns 0 if no region has room
 */
export function excessLoad (
  endpoints: readonly EndpointEntry[],
  regionOf: (endpoint: EndpointEntry) => string,
  capacityOf: (endpoint: EndpointEntry) => number,
  loadOf: (endpoint: EndpointEntry) => number
): number {
  const parts = new Map<string, Part>()
  for (const endpoint of endpoints) {
    const region = regionOf(endpoint)
    const part = parts.get(region) ?? { capacity: 0, load: 0 }
    part.capacity += capacityOf(endpoint)
    part.load += loadOf(endpoint)
    parts.set(region, part)
  }
  const excess = [...parts.values()].map(({ capacity, load }) => load - capacity)
  if (excess.every((requests) => requests >= 0)) return 0
  return excess.reduce((sum, requests) => sum + Math.max(0, requests), 0)
}
