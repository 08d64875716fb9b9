/** Names of the settings that differ after a reload. */
export interface SettingsChange {
  /** Settings whose new values are in force. */
  readonly applied: readonly string[]
  /** Settings whose new values take effect at the next start of the process. */
  readonly atNextStart: readonly string[]
}
