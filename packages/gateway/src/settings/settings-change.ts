/** What a reading of changed settings did, by names of settings. */
export interface SettingsChange {
  /** In force now. */
  readonly applied: readonly string[]
  /** Changed in the file; in force when the process starts again. */
  readonly atNextStart: readonly string[]
}
