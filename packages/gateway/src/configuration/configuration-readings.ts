import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { StoreEra } from '../model/store-era.js'
import type { TopicPage } from '../model/topic-page.js'
import type { ConfigurationState } from './configuration-state.js'

/**
 * Applies what was read of the configuration in the store, and decides whether it verifies the version in force.
 *
 * A store that has come back from an older copy may hold an older version than the one in force, or one that the operator
 * has replaced since. Such a copy does not tell whether an API key is still valid, so it verifies nothing until the operator
 * has had time to write again what was lost.
 */
export class ConfigurationReadings {
  private readonly _configuration: ConfigurationState
  private readonly _storeEra: StoreEra
  /** Newest version that the store was seen to hold in the era of the last page. */
  private _storedVersion = 0

  /**
   * @param configuration configuration to update
   * @param storeEra era of the store
   */
  constructor (configuration: ConfigurationState, storeEra: StoreEra) {
    this._configuration = configuration
    this._storeEra = storeEra
    storeEra.onChange(() => configuration.dropVerificationSince(storeEra.changedAt))
  }

  /**
   * Applies a page.
   * @param page page of the topic of configurations
   * @param readAt time at which the read was sent
   */
  apply (page: TopicPage<GatewayConfiguration>, readAt: number): void {
    const configurations = page.changes.flatMap((change) => change.value ?? [])
    const newestVersion = Math.max(0, ...configurations.map(({ version }) => version))
    this._storedVersion = page.isSnapshot ? newestVersion : Math.max(this._storedVersion, newestVersion)
    for (const configuration of configurations) this._configuration.adopt(configuration, 'store')
    this._configuration.markRead(readAt)
    if (this._storedVersion >= this._configuration.version && this._isNewsOfOperator(page)) this._configuration.markVerified(readAt)
  }

  /** While the store settles, only what was written after it came back counts. */
  private _isNewsOfOperator (page: TopicPage<GatewayConfiguration>): boolean {
    return !this._storeEra.isSettling || (!page.isSnapshot && page.changes.length > 0)
  }
}
