import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import { EndpointOwners } from '@mimosarock/coordination/membership/endpoint-owners.js'
import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import type { EndpointOwnership } from './endpoint-ownership.js'

/** Assigns each configured endpoint an owner among the live routers. */
export class ConfiguredOwners implements EndpointOwnership {
  private readonly _owners: EndpointOwners

  /**
   * @param configuration source of the endpoints
   * @param membership source of the live routers
   */
  constructor (configuration: ConfigurationSource, membership: Membership) {
    this._owners = new EndpointOwners(membership)
    const update = (): void => this._setEndpoints(configuration)
    configuration.onChange(update)
    update()
  }

  /**
   * Returns the owner of an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for an unknown endpoint, or if every router is leaving
   */
  ownerOf (pool: string, endpoint: string): RouterIdentity | undefined {
    return this._owners.ownerOf(pool, endpoint)
  }

  /**
   * Registers a listener that is called after each change of owners.
   * @param listener called without arguments
   * @returns a function that removes the listener
   */
  onChange (listener: () => void): () => void {
    return this._owners.onChange(listener)
  }

  private _setEndpoints (configuration: ConfigurationSource): void {
    const pools = configuration.current()?.configuration.pools ?? []
    this._owners.setEndpoints(pools.flatMap((pool) => pool.endpoints.map((endpoint) => ({
      pool: pool.name,
      endpoint: endpoint.name,
      address: endpoint.address,
      availabilityZone: endpoint.availabilityZone
    }))))
  }
}
