import type { ConfigurationPatch } from '../configuration/configuration-patch.js'
import type { GatewayConfiguration } from '../model/gateway-configuration.js'

/** Change of the configuration from one version to a newer one; both undefined if there is none. */
export interface ConfigurationUpdate {
  /** Patches in ascending order of version; undefined if they are not retained. */
  readonly patches: readonly ConfigurationPatch[] | undefined
  /** The full configuration, if the patches are not retained. */
  readonly configuration: GatewayConfiguration | undefined
}
