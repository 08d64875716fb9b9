/** Log of named events with key-value fields, for operators. */
export interface EventLog {
  /**
   * Logs an event of normal operation.
   * @param event event name in kebab case
   * @param fields values by key; keys are whole words, and keys of times in milliseconds end in `_ms`
   */
  info (event: string, fields?: Readonly<Record<string, unknown>>): void
  /**
   * Logs an event that needs the attention of an operator.
   * @param event event name in kebab case
   * @param fields values by key, as for `info`
   */
  warn (event: string, fields?: Readonly<Record<string, unknown>>): void
}
