/** Where a section or key stands in a settings file. */
export interface SettingLocation {
  readonly section: string
  /** Empty for the section's own line. */
  readonly key: string
  /** Counted from 1. */
  readonly line: number
}
