/** Takes one line of key=value pairs for each event. */
export interface EventLog {
  /**
   * Logs an event of normal operation.
   * @param event name, in kebab case
   * @param fields values by whole-word keys; times in milliseconds with keys that end in `_ms`
   */
  info (event: string, fields?: Readonly<Record<string, unknown>>): void
  /**
   * Logs an event that an operator should look at.
   * @param event name, in kebab case
   * @param fields values by whole-word keys
   */
  warn (event: string, fields?: Readonly<Record<string, unknown>>): void
}
