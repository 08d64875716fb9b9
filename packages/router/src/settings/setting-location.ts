/** Location of a section or key in a settings file. */
export interface SettingLocation {
  readonly section: string
  /** Name of the key; empty for the section header. */
  readonly key: string
  /** Line number; the first line is 1. */
  readonly line: number
}
