import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EndpointHealth } from './endpoint-health.js'

/** Knows only what the configuration says: an endpoint that an operator retires is leaving. */
export class ConfiguredHealth implements EndpointHealth {
  private readonly _configuration: ConfigurationSource

  /**
   * @param configuration the configuration in force
   */
  constructor (configuration: ConfigurationSource) {
    this._configuration = configuration
  }

  /**
   * Whether the endpoint may get new work.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  availability (pool: string, endpoint: string): EndpointAvailability {
    const retired = this._configuration.current()?.isRetired(pool, endpoint) === true
    return retired ? EndpointAvailability.LEAVING : EndpointAvailability.LIVE
  }

  /** Does nothing. */
  noteSuccess (): void {}

  /** Does nothing. */
  noteFailure (): void {}

  /** Does nothing. */
  noteSilence (): void {}
}
