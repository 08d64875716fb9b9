import type { GatewaySettings } from './gateway-settings.js'
import type { SettingsChange } from './settings-change.js'

type SettingName = keyof GatewaySettings

/** Settings for listen addresses, identity and process limits; a change takes effect at the next start. */
const STARTUP_ONLY: ReadonlySet<SettingName> = new Set([
  'name', 'availabilityZone', 'region', 'regions', 'callers', 'readiness', 'peers', 'metrics', 'seeds', 'store', 'fileDescriptors', 'memoryBytes'
])

/** Holds the settings in force, most of which can be reloaded while the process runs. */
export class LiveSettings {
  private _current: GatewaySettings

  /**
   * @param settings settings at startup
   */
  constructor (settings: GatewaySettings) {
    this._current = settings
  }

  /** Settings in force. */
  get current (): GatewaySettings {
    return this._current
  }

  /**
   * Applies reloaded settings, except those that are read at startup only.
   * @param next settings that were just read from the file
   * @returns the names of the settings that were applied, and of those that take effect at the next start
   */
  replace (next: GatewaySettings): SettingsChange {
    const names = Object.keys(next) as SettingName[]
    const changed = names.filter((name) => JSON.stringify(next[name]) !== JSON.stringify(this._current[name]))
    const applied = changed.filter((name) => !STARTUP_ONLY.has(name))
    const startupValues = Object.fromEntries([...STARTUP_ONLY].map((name) => [name, this._current[name]]))
    this._current = { ...next, ...startupValues }
    return { applied, atNextStart: changed.filter((name) => STARTUP_ONLY.has(name)) }
  }
}
