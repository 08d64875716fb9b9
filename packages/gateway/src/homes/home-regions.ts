import type { HomeRegionsOptions } from './home-regions-options.js'
import { Homes } from './homes.js'

/** Regions of the availability zones, and the homes of requests that follow from them. */
export class HomeRegions {
  private readonly _regions: ReadonlyMap<string, string>
  private readonly _names: ReadonlySet<string>
  /** One for each combination of regions, since admission control and endpoint selection keep state for each. */
  private readonly _homes = new Map<string, Homes>()

  /**
   * @param options regions by the settings
   */
  constructor ({ regions, availabilityZone, region }: HomeRegionsOptions) {
    const named = Object.entries(regions).filter(([, name]) => name !== '')
    this._regions = new Map([...region === undefined ? [] : [[availabilityZone, region] as const], ...named])
    this._names = new Set(this._regions.values())
  }

  /**
   * Returns whether the settings name a region.
   * @param region name of the region
   */
  knows (region: string): boolean {
    return this._names.has(region)
  }

  /**
   * Returns the region of an availability zone; undefined if the settings name none.
   * @param availabilityZone name of the zone
   */
  regionOf (availabilityZone: string): string | undefined {
    return this._regions.get(availabilityZone)
  }

  /**
   * Returns where requests may run to which several lists of regions apply; undefined if they may run everywhere.
   * @param lists names of regions; an undefined list does not restrict anything
   */
  homesOf (...lists: readonly (readonly string[] | undefined)[]): Homes | undefined {
    const restricting = lists.filter((list) => list !== undefined)
    const [first, ...others] = restricting
    if (first === undefined) return undefined
    const homes = new Homes(first.filter((region) => others.every((list) => list.includes(region))), (zone) => this.regionOf(zone))
    const known = this._homes.get(homes.key)
    if (known !== undefined) return known
    this._homes.set(homes.key, homes)
    return homes
  }
}
