import type { EndpointEntry } from '../model/endpoint-entry.js'

/** The regions in which alone some requests may run. */
export class Homes {
  /** Identifies the regions; the same for the same regions. */
  readonly key: string
  /** Names of the regions, sorted; empty if the requests may run nowhere. */
  readonly regions: readonly string[]
  /** Returns whether the requests may run at an endpoint, and contexts for them may be copied from it. */
  readonly mayRunAt: (endpoint: EndpointEntry) => boolean

  /**
   * @param regions names of the regions, in any order
   * @param regionOf returns the region of an availability zone; undefined if it is not known
   */
  constructor (regions: readonly string[], regionOf: (availabilityZone: string) => string | undefined) {
    this.regions = [...new Set(regions)].sort()
    this.key = JSON.stringify(this.regions)
    const names = new Set(this.regions)
    this.mayRunAt = ({ availabilityZone }) => {
      const region = regionOf(availabilityZone)
      return region !== undefined && names.has(region)
    }
  }

  /**
   * Returns whether all of these regions are among others.
   * @param others the other regions
   */
  isWithin (others: Homes): boolean {
    return this.regions.every((region) => others.regions.includes(region))
  }
}
