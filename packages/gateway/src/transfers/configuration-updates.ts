import type { ConfigurationPatch } from '../configuration/configuration-patch.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { ConfigurationUpdate } from './configuration-update.js'

/** Maximum encoded size of a small change, which takes some milliseconds on a slow link, in characters. */
const MAXIMUM_SMALL_CHANGE_LENGTH = 8_192

/** Changes of the configuration, for routers with an older version. */
export class ConfigurationUpdates {
  private readonly _configuration: ConfigurationState
  private readonly _encodedLengths = new WeakMap<ConfigurationPatch, number>()

  /**
   * @param configuration configuration in force
   */
  constructor (configuration: ConfigurationState) {
    this._configuration = configuration
  }

  /**
   * Returns the change from a version to the one in force.
   * @param version base version of the change
   */
  since (version: number): ConfigurationUpdate {
    if (version >= this._configuration.version) return { patches: undefined, configuration: undefined }
    const patches = this._configuration.patchesSince(version)
    return { patches, configuration: patches === undefined ? this._configuration.inForce?.configuration : undefined }
  }

  /**
   * Returns the change from a version to the one in force if it fits into an answer that must not take long; undefined
   * if it is too large or there is none.
   * @param version base version of the change
   */
  smallChangeSince (version: number): readonly ConfigurationPatch[] | undefined {
    const patches = this._configuration.patchesSince(version)
    if (patches === undefined) return undefined
    const length = patches.reduce((sum, patch) => sum + this._encodedLength(patch), 0)
    return length <= MAXIMUM_SMALL_CHANGE_LENGTH ? patches : undefined
  }

  /**
   * Whether a router with a version can be brought up to date by a small change, or is up to date.
   * @param version version of the other router
   */
  isNearlyCurrent (version: number): boolean {
    return version >= this._configuration.version || this.smallChangeSince(version) !== undefined
  }

  private _encodedLength (patch: ConfigurationPatch): number {
    const known = this._encodedLengths.get(patch)
    if (known !== undefined) return known
    const length = JSON.stringify(patch).length
    this._encodedLengths.set(patch, length)
    return length
  }
}
