import type { GatewaySettings } from './gateway-settings.js'
import type { SettingsChange } from './settings-change.js'

type SettingName = keyof GatewaySettings

/** Settings that bind addresses, identities or limits of the process; a change takes effect at its next start. */
const AT_START_ONLY: ReadonlySet<SettingName> = new Set([
  'name', 'availabilityZone', 'callers', 'readiness', 'peers', 'metrics', 'store', 'fileDescriptors'
])

/** The settings in force, which may change while the process runs. */
export class LiveSettings {
  private _current: GatewaySettings

  /**
   * @param settings as they were at the start
   */
  constructor (settings: GatewaySettings) {
    this._current = settings
  }

  /** The settings in force. */
  get current (): GatewaySettings {
    return this._current
  }

  /**
   * Puts new settings in force, but for those that are read at the start only.
   * @param next as the file has them now
   */
  replace (next: GatewaySettings): SettingsChange {
    const names = Object.keys(next) as SettingName[]
    const changed = names.filter((name) => String(next[name]) !== String(this._current[name]))
    const applied = changed.filter((name) => !AT_START_ONLY.has(name))
    const kept = Object.fromEntries([...AT_START_ONLY].map((name) => [name, this._current[name]]))
    this._current = { ...next, ...kept }
    return { applied, atNextStart: changed.filter((name) => AT_START_ONLY.has(name)) }
  }
}
