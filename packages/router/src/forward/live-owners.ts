import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { OwnerChoice } from '@mimosarock/placement/owner-choice.js'
import type { OwnerLookup } from './owner-lookup.js'

/** Owners of endpoints among the routers that this router sees live. */
export class LiveOwners implements OwnerLookup {
  private readonly _configuration: ConfigurationSource
  private readonly _membership: Membership
  private _choice: OwnerChoice<RouterIdentity> | undefined
  private _owners = new Map<string, RouterIdentity | undefined>()

  /**
   * @param configuration tells the endpoints' availability zones
   * @param membership the live routers
   */
  constructor (configuration: ConfigurationSource, membership: Membership) {
    this._configuration = configuration
    this._membership = membership
    const forget = (): void => {
      this._choice = undefined
      this._owners = new Map()
    }
    membership.onChange(forget)
    configuration.onChange(forget)
  }

  /**
   * The owner of an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  ownerOf (pool: string, endpoint: string): RouterIdentity | undefined {
    const name = `${pool}/${endpoint}`
    if (this._owners.has(name)) return this._owners.get(name)
    this._choice ??= new OwnerChoice(this._membership.live())
    const zone = this._configuration.current()?.pools.get(pool)?.endpoints.find((candidate) => candidate.name === endpoint)?.availabilityZone
    const owner = this._choice.ownerOf(name, zone)
    this._owners.set(name, owner)
    return owner
  }
}
